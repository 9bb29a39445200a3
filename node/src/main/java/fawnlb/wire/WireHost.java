package fawnlb.wire;

import fawnlb.config.SettingsParser;
import fawnlb.decision.Balancer;
import fawnlb.decision.Balancer.ListKind;
import fawnlb.decision.Balancer.Outcome;
import fawnlb.decision.Balancer.Phase;
import fawnlb.decision.Balancer.Replica;
import fawnlb.policy.Choice;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Hosts one {@link Choice} for each instance on the simulator's wire: translation only, no decisions. */
public final class WireHost {
    private static final int LISTS = 16;
    private static final int LIST_ENTRY = 22;
    private static final int HINTED = 1;
    private static final int REPEAT = 2;
    private static final int RESUMED = 16;

    private final Balancer.Maker maker;
    private final Frames in;
    private final OutputStream out;
    private final Reply reply = new Reply();
    private final Map<Integer, Balancer> instances = new HashMap<>();
    private final List<List<Replica>> lists = new ArrayList<>();

    public WireHost(InputStream in, OutputStream out) {
        this(in, out, Choice::new);
    }

    WireHost(InputStream in, OutputStream out, Balancer.Maker maker) {
        this.maker = maker;
        this.in = new Frames(in);
        this.out = out;
        for (int i = 0; i < LISTS; i++) {
            lists.add(null);
        }
    }

    /** Answers every batch until the input ends. */
    public void run() throws IOException {
        while (in.next()) {
            for (int i = 0; i < in.records(); i++) {
                record();
            }
            if (!in.atEnd()) {
                throw in.bad("batch holds more than its records", in.at());
            }
            reply.flushTo(out);
        }
    }

    private void record() throws IOException {
        long at = in.at();
        int code = in.u8();
        int who = in.u16();
        switch (code) {
            case 0 -> attach(who);
            case 9 -> instances.remove(who);
            case 10 -> list(who, at);
            case 1 -> tell(who, listed(at));
            case 2 -> tell(who, request());
            case 3 -> tell(who, started());
            case 4 -> tell(who, ended());
            case 5 -> tell(who, new Balancer.ClientGone(in.u64()));
            case 6 -> tell(who, new Balancer.TimerDue((int) in.u32()));
            case 7 -> tell(who, new Balancer.Probed(in.u32(), outcome(in.u8()), in.u64(), load()));
            case 8 -> tell(who, new Balancer.PeerMessage(in.u32(), in.bytes(in.u16())));
            default -> throw in.bad("unknown record code " + code, at);
        }
    }

    private void tell(int who, Balancer.Event event) {
        Balancer balancer = instances.get(who);
        if (balancer == null) {
            return;
        }
        try {
            balancer.on(in.clock(), event);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault(
                    who, e + " on " + event.getClass().getSimpleName() + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void attach(int who) throws IOException {
        long seed = in.u64();
        String pairs = in.text(in.count(1));
        SettingsParser parser = new SettingsParser(pairs);
        Balancer.Settings settings = parser.settings();
        parser.complaints().forEach(System.err::println);
        instances.put(who, maker.make(settings, seed, action -> reply.add(who, action)));
    }

    private void list(int number, long at) throws IOException {
        if (number >= LISTS) {
            throw in.bad("list number " + number + " is not below " + LISTS, at);
        }
        int n = in.count(LIST_ENTRY);
        List<Replica> replicas = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            long readyAt = in.u64();
            double size = in.f32();
            Phase phase = switch (in.u8()) {
                case 1 -> Phase.READY;
                case 2 -> Phase.GONE;
                default -> Phase.DRAINING;
            };
            int cell = in.u16();
            long id = in.u32();
            int zone = in.u8();
            replicas.add(new Replica(id, phase, readyAt, size, zone, cell, in.u16()));
        }
        lists.set(number, List.copyOf(replicas));
    }

    private Balancer.Listed listed(long at) throws IOException {
        int kind = in.u8();
        long version = in.u64();
        int number = in.u16();
        if (kind > 3) {
            throw in.bad("unknown kind of list event " + kind, at);
        }
        ListKind word = ListKind.values()[kind];
        if (word == ListKind.FAILED) {
            return new Balancer.Listed(word, version, List.of());
        }
        if (number >= LISTS || lists.get(number) == null) {
            throw in.bad("unknown list number " + number, at);
        }
        return new Balancer.Listed(word, version, lists.get(number));
    }

    private Balancer.Request request() throws IOException {
        long id = in.u64();
        int type = in.u16();
        int tenant = (int) in.u32();
        long session = in.u64();
        long expiresIn = in.u64();
        long hint = in.u64();
        long prefix = in.u64();
        double prompt = in.f32();
        double shared = in.f32();
        double most = in.f32();
        int bits = in.u8();
        return new Balancer.Request(
                id,
                type,
                tenant,
                session,
                prefix,
                expiresIn,
                hint,
                prompt,
                shared,
                most,
                (bits & HINTED) != 0,
                (bits & REPEAT) != 0,
                (bits & RESUMED) != 0);
    }

    private Balancer.Started started() throws IOException {
        long id = in.u64();
        int attempt = in.u8();
        long replica = in.u32();
        return new Balancer.Started(id, attempt, replica, in.u64());
    }

    private Balancer.Ended ended() throws IOException {
        long id = in.u64();
        long took = in.u64();
        int attempt = in.u8();
        Outcome outcome = outcome(in.u8());
        long replica = in.u32();
        boolean over = in.u8() != 0;
        long kept = in.u32();
        return new Balancer.Ended(id, attempt, replica, outcome, over, took, kept, load());
    }

    private List<Double> load() throws IOException {
        int n = in.u8();
        if (n == 0) {
            return List.of();
        }
        List<Double> values = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            values.add(in.f32());
        }
        return values;
    }

    /** Unknown codes count as an error that may have run. */
    private static Outcome outcome(int code) {
        return switch (code) {
            case 10 -> Outcome.SERVED;
            case 30 -> Outcome.FULL;
            case 40 -> Outcome.TIMEOUT;
            case 50 -> Outcome.CONNECT_FAILED;
            case 60 -> Outcome.RESET;
            case 70 -> Outcome.CANCELLED;
            case 80 -> Outcome.NEVER_SENT;
            default -> Outcome.ERROR;
        };
    }
}
