package fawnlb.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

public class ConfigurationFilesTest {
    private static final String SETTINGS =
            "\"settings\":{\"localities\":[\"east side\",\"b\"],\"limits\":{\"conn-idle-ns\":5},"
                    + "\"family-info\":{\"token-aim-ns\":[50]},\"registry-mode\":\"subscribe\",\"none\":null,"
                    + "\"profiles\":[{\"name\":\"chat\",\"effect\":\"safe\",\"deadline-ns\":9}]}";
    private static final String VALID_SERVER_FILE =
            "{\"name\":\"n\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"seed\":\"ff\","
                    + "\"limits\":{\"sockets\":100},\"known\":{\"revision\":3,\"complete\":true,\"members\":[]},"
                    + SETTINGS + "}";
    private static final String VALID_TEAM =
            "{\"name\":\"t\",\"key\":\"k\",\"classes\":[\"c\"],\"models\":[\"m\"],\"deadline-ms\":5,"
                    + "\"budget\":{\"requests\":1,\"tokens\":2,\"window-ms\":3}}";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private Path writeFile(String content) throws IOException {
        return Files.writeString(folder.newFile().toPath(), content);
    }

    @Test
    public void serverFileIsReadAndEnvironmentTakesPrecedence() throws Exception {
        ServerConfiguration configuration =
                ServerConfiguration.read(writeFile(VALID_SERVER_FILE), Map.of("PROXY_LISTEN", "127.0.0.1:7"));
        assertEquals(7, configuration.listenAddress().getPort());
        assertEquals(2, configuration.discoveryAddress().getPort());
        assertEquals(255, configuration.seed());
        assertEquals(3, configuration.initialEndpoints().revision());
        assertEquals(List.of("east_side", "b"), configuration.settings().names().zones());
        assertEquals(List.of("chat"), configuration.settings().names().classes());
        assertEquals(9, configuration.settings().requestClasses().get(0).deadlineNanos());
        assertEquals(5, configuration.settings().connectionTimeouts().idleTimeoutNanos());
    }

    @Test
    public void invalidServerFileNamesTheSettingInOneLine() throws Exception {
        String[][] cases = {
            {"", "JSON"},
            {"{", ""},
            {"[]", "JSON"},
            {"{}", "class"},
            {VALID_SERVER_FILE.replace("127.0.0.1:1\"", "x\""), "listen"},
            {VALID_SERVER_FILE.replace("\"ff\"", "\"xyz\""), "seed"},
            {VALID_SERVER_FILE.replace("100", "3"), "sockets"},
            {VALID_SERVER_FILE.replace("127.0.0.1:2", "127.0.0.1:99999"), "discovery"}
        };
        for (String[] row : cases) {
            Path file = writeFile(row[0]);
            String message = assertThrows(
                            row[0], ConfigurationException.class, () -> ServerConfiguration.read(file, Map.of()))
                    .getMessage();
            assertTrue(message, message.contains(row[1]) && message.lines().count() == 1);
        }
    }

    @Test
    public void messagesFileIsReadOrItsInvalidSettingNamed() throws Exception {
        String validFile =
                "{\"listen\":\"127.0.0.1:1\",\"message-kinds\":[\"x\"],\"syslog\":{\"collector\":\"127.0.0.1:3\","
                        + "\"transport\":\"tcp\"},\"teams\":[" + VALID_TEAM + "]}";
        MessagesConfiguration configuration = MessagesConfiguration.read(writeFile(validFile));
        assertEquals(
                5_000_000,
                configuration.contracts().findByKey("k").orElseThrow().deadlineNanos());
        assertTrue(configuration.messagesApiKinds().contains("x")
                && configuration.syslog().isTcp());
        String[][] cases = {
            {"{}", "team"},
            {validFile.replace("\"k\"", "\"\""), "key"},
            {validFile.replace("tcp", "smoke"), "transport"},
            {validFile.replace("\"requests\":1,", ""), "requests"},
            {validFile.replace("}}]", "}}," + VALID_TEAM + "]"), "same key"},
            {validFile.replace("127.0.0.1:1", "?"), "listen"},
            {validFile.replace("\"tokens\":2", "\"tokens\":\"many\""), "tokens"}
        };
        for (String[] row : cases) {
            Path file = writeFile(row[0]);
            String message = assertThrows(row[0], ConfigurationException.class, () -> MessagesConfiguration.read(file))
                    .getMessage();
            assertTrue(message, message.contains(row[1]) && message.lines().count() == 1);
        }
    }

    @Test
    public void filesUnderDeployAreValid() throws Exception {
        assertEquals(
                2,
                MessagesConfiguration.read(Path.of("../deploy/messages.json"))
                        .contracts()
                        .teams()
                        .size());
    }

    @Test
    public void startupFileIsReadOrItsInvalidSettingNamed() throws Exception {
        StartupConfiguration configuration = StartupConfiguration.read(
                Path.of("../deploy/start.json"),
                ServerConfiguration.read(writeFile(VALID_SERVER_FILE), Map.of()).settings());
        assertTrue(configuration.snapshotFile().isAbsolute()
                && !configuration.isListTrusted()
                && configuration.restoreRules().emptyListHoldNanos() > 0);
        String[][] cases = {
            {"[]", "JSON"},
            {"{\"snapshots\":1}", "snapshots: no such setting"},
            {"{\"probation\":{\"on\":\"maybe\"}}", "probation.on"},
            {"{\"probation\":{\"proofs\":0}}", "probation.proofs"},
            {"{\"probation\":{\"doubt-ms\":5000,\"longest-doubt-ms\":10}}", "longest-doubt-ms"},
            {"{\"snapshot\":{\"least-interval-ms\":-1}}", "least-interval-ms"},
            {"{\"empty-list\":{\"hold-ms\":\"x\"}}", "hold-ms"}
        };
        for (String[] row : cases) {
            Path file = writeFile(row[0]);
            String message = assertThrows(
                            row[0],
                            ConfigurationException.class,
                            () -> StartupConfiguration.read(
                                    file,
                                    ServerConfiguration.read(writeFile(VALID_SERVER_FILE), Map.of())
                                            .settings()))
                    .getMessage();
            assertTrue(message, message.contains(row[1]) && message.lines().count() == 1);
        }
    }

    @Test
    public void streamsFileIsReadOrItsInvalidSettingNamed() throws Exception {
        StreamConfiguration configuration = StreamConfiguration.read(Path.of("../deploy/streams.json"));
        assertEquals(
                "the file says what holds without it",
                StreamConfiguration.defaults().timeouts(),
                configuration.timeouts());
        assertEquals(9901, configuration.adminAddress().getPort());
        assertNull(StreamConfiguration.read(writeFile("{}")).adminAddress());
        String[][] cases = {
            {"[]", "JSON"},
            {"{\"silence\":{\"last-ms\":1}}", "silence.last-ms: no such setting"},
            {"{\"silence\":{\"learned\":\"maybe\"}}", "silence.learned"},
            {"{\"silence\":{\"most-ms\":5000}}", "silence.most-ms"},
            {"{\"silence\":{\"pause-ms\":2000,\"most-ms\":1000}}", "silence.pause-ms: longer than"},
            {"{\"silence\":{\"suspicion\":1}}", "silence.suspicion"},
            {"{\"readers\":{\"most-held-bytes\":1}}", "most-held-bytes"},
            {"{\"readers\":{\"patience-ms\":0}}", "readers.patience-ms"},
            {"{\"admin\":{\"listen\":\"here\"}}", "admin.listen"},
            {"{\"admin\":{\"log-every-ms\":-1}}", "admin.log-every-ms"}
        };
        for (String[] row : cases) {
            Path file = writeFile(row[0]);
            String message = assertThrows(row[0], ConfigurationException.class, () -> StreamConfiguration.read(file))
                    .getMessage();
            assertTrue(message, message.contains(row[1]) && message.lines().count() == 1);
        }
    }
}
