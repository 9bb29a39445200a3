package fawnlb.cli;

import static fawnlb.cli.StandIn.CHUNKED;
import static fawnlb.cli.StandIn.chunk;
import static fawnlb.cli.StandIn.head;
import static fawnlb.cli.StandIn.write;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.Balancer.Phase;
import fawnlb.discovery.Member;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.SnapshotStore;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Starts from a remembered list, on real sockets: discovery is nowhere unless the test brings it. */
public class StartWithoutDiscoveryTest {
    private static final String NOWHERE = "127.0.0.1:1";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private static StandIn serving() throws Exception {
        return new StandIn(
                (request, socket) -> write(socket, head(200, CHUNKED) + chunk("data: [DONE]\n\n") + "0\r\n\r\n"));
    }

    private static Member member(int number, String address) {
        int colon = address.lastIndexOf(':');
        return new Member(
                "s-0000000" + number,
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                "a",
                "c",
                0,
                Phase.READY,
                1,
                0);
    }

    private String start(String more, Member... remembered) throws Exception {
        Path file = folder.getRoot().toPath().resolve("list");
        long now = System.currentTimeMillis();
        if (remembered.length > 0) {
            new SnapshotStore(file)
                    .write(new Snapshot(
                            now,
                            99,
                            Arrays.stream(remembered)
                                    .map(member -> new Snapshot.Entry(member, now, now))
                                    .toList()));
        }
        return "{\"snapshot\":{\"file\":\"" + file + "\",\"least-interval-ms\":100}" + more + "}";
    }

    @Test
    public void aNodeServesFromWhatItRemembersWhileDiscoveryIsDown() throws Exception {
        String away;
        try (StandIn gone = serving()) {
            away = gone.address();
        }
        try (StandIn backend = serving()) {
            try (Rigged rigged = new Rigged(
                    Rigged.config("subscribe", NOWHERE, ""),
                    null,
                    start("", member(1, backend.address()), member(2, away)))) {
                for (int i = 0; i < 5; i++) {
                    String answer = rigged.ask(0, Rigged.chat("id" + i, 3000, "X-Key: a" + i + "\r\n"));
                    assertTrue(answer, answer.startsWith("HTTP/1.1 200"));
                }
            }
        }
    }

    /**
     * What stands behind a remembered address may be another backend by now, of no list that this node was given. No
     * time that passes tells; an answer does, be it that nothing has changed, and so does a call that fails.
     */
    @Test
    public void aNodeIsReadyAndTriesRememberedBackendsOnceDiscoveryHasSpokenAndNotBefore() throws Exception {
        String ready = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        for (String word : new String[] {
            head(200, CHUNKED) + chunk("\n"),
            head(200, CHUNKED) + chunk("{\"revision\":2," + "\"members\":[]}\n"),
            head(503, "Content-Length: 0\r\n")
        }) {
            CountDownLatch speaks = new CountDownLatch(1);
            try (StandIn backend = serving();
                    StandIn discovery = new StandIn((request, socket) -> {
                        speaks.await(10, TimeUnit.SECONDS);
                        write(socket, word);
                        socket.getInputStream().read();
                    });
                    Rigged rigged = new Rigged(
                            Rigged.config(
                                    "subscribe",
                                    discovery.address(),
                                    Rigged.member(1, backend.address(), "c", "ready")),
                            null,
                            "{}")) {
                Rigged.until("asked", () -> !discovery.requests.isEmpty());
                assertTrue(rigged.ask(0, ready).startsWith("HTTP/1.1 503"));
                String early = rigged.ask(0, Rigged.chat("early", 100));
                assertTrue(early, early.startsWith("HTTP/1.1 503") && early.contains("Retry-After"));
                assertEquals(0, backend.requests.size());
                speaks.countDown();
                Rigged.until("ready", () -> {
                    try {
                        return rigged.ask(0, ready).startsWith("HTTP/1.1 200");
                    } catch (IOException e) {
                        return false;
                    }
                });
                String answer = rigged.ask(0, Rigged.chat("id", 3000));
                assertTrue(answer, answer.startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** Nothing more is sent to a backend that has not yet answered than its room: here one of three nodes' eight. */
    @Test
    public void anUnprovenBackendHoldsFewThatWait() throws Exception {
        CountDownLatch answering = new CountDownLatch(1);
        try (StandIn backend = new StandIn((request, socket) -> {
            answering.await(10, TimeUnit.SECONDS);
            write(socket, head(200, CHUNKED) + chunk("data: [DONE]\n\n") + "0\r\n\r\n");
        })) {
            try (Rigged rigged = new Rigged(
                    Rigged.config("subscribe", NOWHERE, ""),
                    null,
                    start(",\"probation\":{\"waiting\":2}", member(1, backend.address())))) {
                Socket[] clients = new Socket[6];
                for (int i = 0; i < clients.length; i++) {
                    clients[i] = rigged.connect(0);
                    write(clients[i], Rigged.chat("id" + i, 6000));
                }
                Rigged.until("six taken", () -> rigged.node.open() == clients.length);
                Rigged.until("two out", () -> backend.requests.size() == 2);
                answering.countDown();
                for (Socket client : clients) {
                    assertTrue(new String(client.getInputStream().readAllBytes()).startsWith("HTTP/1.1 200"));
                    client.close();
                }
                assertEquals(clients.length, backend.requests.size());
            }
        }
    }

    @Test
    public void discoveryWinsWhenItReturnsAndItsListIsRemembered() throws Exception {
        try (StandIn remembered = serving();
                StandIn listed = serving();
                StandIn discovery = new StandIn((request, socket) -> write(
                        socket,
                        head(200, CHUNKED)
                                + chunk("{\"revision\":3,\"complete\":true,\"members\":["
                                        + Rigged.member(2, listed.address(), "c", "ready") + "]}\n")))) {
            try (Rigged rigged = new Rigged(
                    Rigged.config("subscribe", discovery.address(), ""),
                    null,
                    start("", member(1, remembered.address())))) {
                Path file = folder.getRoot().toPath().resolve("list");
                Rigged.until("remembered anew", () -> {
                    try {
                        return SnapshotStore.read(file)
                                .entries()
                                .get(0)
                                .member()
                                .id()
                                .equals("s-00000002");
                    } catch (IOException e) {
                        return false;
                    }
                });
                assertTrue(discovery.requests.get(0).line().contains("from=0"));
                int before = remembered.requests.size();
                assertTrue(rigged.ask(0, Rigged.chat("id", 3000)).startsWith("HTTP/1.1 200"));
                assertEquals(before, remembered.requests.size());
                assertEquals(1, listed.requests.size());
            }
        }
    }

    @Test
    public void aDamagedFileStopsNoStartAndTheOlderOneIsTaken() throws Exception {
        try (StandIn backend = serving()) {
            String start = start("", member(1, backend.address()));
            Path file = folder.getRoot().toPath().resolve("list");
            Files.copy(file, file.resolveSibling("list.1"));
            Files.write(file, new byte[] {1, 2, 3});
            try (Rigged rigged = new Rigged(Rigged.config("subscribe", NOWHERE, ""), null, start)) {
                assertTrue(rigged.ask(0, Rigged.chat("id", 3000)).startsWith("HTTP/1.1 200"));
            }
        }
    }

    @Test
    public void aListThatBreaksOffHalfWayChangesNothing() throws Exception {
        try (StandIn backend = serving();
                StandIn discovery = new StandIn((request, socket) -> {
                    write(socket, head(200, CHUNKED) + "400\r\n{\"revision\":3,\"complete\":true,\"members\":[");
                    socket.close();
                })) {
            try (Rigged rigged = new Rigged(
                    Rigged.config("subscribe", discovery.address(), ""),
                    null,
                    start("", member(1, backend.address())))) {
                Rigged.until("asked again", () -> discovery.requests.size() > 1);
                assertTrue(rigged.ask(0, Rigged.chat("id", 3000)).startsWith("HTTP/1.1 200"));
            }
        }
    }

    @Test
    public void withEveryListedBackendGoneARequestIsRefusedInTime() throws Exception {
        String away;
        try (StandIn gone = serving()) {
            away = gone.address();
        }
        try (Rigged rigged = new Rigged(Rigged.config("subscribe", NOWHERE, ""), null, start("", member(1, away)))) {
            String answer = rigged.ask(0, Rigged.chat("id", 500));
            assertTrue(answer, answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After"));
        }
    }
}
