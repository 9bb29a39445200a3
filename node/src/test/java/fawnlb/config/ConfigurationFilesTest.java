package fawnlb.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.LoadBalancerSettings;
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
            "\"settings\":{\"localities\":[\"east side\",\"north,west\"],\"limits\":{\"conn-idle-ns\":5},"
                    + "\"family-info\":{\"token-aim-ns\":[50]},\"registry-mode\":\"subscribe\",\"none\":null,"
                    + "\"profiles\":[{\"name\":\"chat\",\"effect\":\"safe\",\"deadline-ns\":9}]}";
    private static final String VALID_SERVER_FILE =
            "{\"name\":\"n\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"seed\":\"ff\","
                    + "\"limits\":{\"sockets\":100},\"known\":{\"revision\":3,\"complete\":true,\"members\":[]},"
                    + SETTINGS + "}";
    private static final String VALID_TEAM =
            "{\"name\":\"t\",\"key\":\"k\",\"classes\":[\"c\"],\"models\":[\"m\"],\"deadline-ms\":5,"
                    + "\"budget\":{\"requests\":1,\"tokens\":2,\"window-ms\":3}}";
    private static final String VALID_MESSAGES_FILE =
            "{\"listen\":\"127.0.0.1:1\",\"message-kinds\":[\"x\"],\"syslog\":{\"collector\":\"127.0.0.1:3\","
                    + "\"transport\":\"tcp\"},\"teams\":[" + VALID_TEAM + "]}";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    /** Reads a configuration file of one kind. */
    private interface FileReader {
        void read(Path file) throws ConfigurationException;
    }

    private Path writeFile(String content) throws IOException {
        return Files.writeString(folder.newFile().toPath(), content);
    }

    private LoadBalancerSettings loadBalancerSettings() throws IOException, ConfigurationException {
        return ServerConfiguration.read(writeFile(VALID_SERVER_FILE), Map.of()).settings();
    }

    /** Asserts that a file is rejected with one line that holds this text. */
    private ConfigurationException assertRejected(FileReader reader, String content, String expected)
            throws IOException {
        Path file = writeFile(content);
        ConfigurationException e = assertThrows(content, ConfigurationException.class, () -> reader.read(file));
        assertTrue(e.getMessage(), e.getMessage().contains(expected));
        assertEquals(e.getMessage(), 1, e.getMessage().lines().count());
        return e;
    }

    @Test
    public void serverFileIsReadAndEnvironmentTakesPrecedence() throws Exception {
        ServerConfiguration configuration =
                ServerConfiguration.read(writeFile(VALID_SERVER_FILE), Map.of("PROXY_LISTEN", "127.0.0.1:7"));

        assertEquals(7, configuration.listenAddress().getPort());
        assertEquals(2, configuration.discoveryAddress().getPort());
        assertEquals(255, configuration.seed());
        assertEquals(3, configuration.initialEndpoints().revision());
        assertEquals(
                List.of("east side", "north,west"),
                configuration.settings().names().zones());
        assertEquals(List.of("chat"), configuration.settings().names().classes());
        assertEquals(9, configuration.settings().requestClasses().get(0).deadlineNanos());
        assertEquals(5, configuration.settings().connectionTimeouts().idleTimeoutNanos());
    }

    @Test
    public void invalidServerFileNamesTheSettingInOneLine() throws Exception {
        FileReader reader = file -> ServerConfiguration.read(file, Map.of());

        assertRejected(reader, "", "JSON");
        assertRejected(reader, "{", "");
        assertRejected(reader, "[]", "JSON");
        assertRejected(reader, "{}", "class");
        assertRejected(reader, VALID_SERVER_FILE.replace("127.0.0.1:1\"", "x\""), "listen");
        assertRejected(reader, VALID_SERVER_FILE.replace("\"ff\"", "\"xyz\""), "seed");
        assertRejected(reader, VALID_SERVER_FILE.replace("100", "3"), "sockets");
        assertRejected(reader, VALID_SERVER_FILE.replace("127.0.0.1:2", "127.0.0.1:99999"), "discovery");
    }

    @Test
    public void rejectionNamesFileSettingAndWhatWasExpected() throws Exception {
        Path missing = folder.getRoot().toPath().resolve("missing.json");
        ConfigurationException noFile =
                assertThrows(ConfigurationException.class, () -> StreamConfiguration.read(missing));
        ConfigurationException badSetting =
                assertRejected(StreamConfiguration::read, "{\"silence\":{\"suspicion\":1}}", "silence.suspicion");

        assertEquals(missing + ": no such file", noFile.getMessage());
        assertEquals(missing.toString(), noFile.file());
        assertNull(noFile.setting());
        assertEquals("silence.suspicion", badSetting.setting());
        assertEquals("expected a whole number from 2 to 30, found '1'", badSetting.expected());
        assertEquals(
                badSetting.file() + ": " + badSetting.setting() + ": " + badSetting.expected(),
                badSetting.getMessage());
    }

    @Test
    public void messagesFileIsRead() throws Exception {
        MessagesConfiguration configuration = MessagesConfiguration.read(writeFile(VALID_MESSAGES_FILE));

        assertEquals(
                5_000_000,
                configuration.contracts().findByKey("k").orElseThrow().deadlineNanos());
        assertTrue(configuration.messagesApiKinds().contains("x"));
        assertTrue(configuration.syslog().isTcp());
    }

    /** Spaces and commas became underscores, so that keys did not match and snapshots went to another file. */
    @Test
    public void textsOfFilesStayAsTheyAreWritten() throws Exception {
        String messagesFile = VALID_MESSAGES_FILE
                .replace("\"k\"", "\"a secret, long\"")
                .replace("\"x\"", "\"kind one\"")
                .replace("[\"c\"]", "[\"c,1\",\"c 2\"]");
        MessagesConfiguration messages = MessagesConfiguration.read(writeFile(messagesFile));
        StartupConfiguration startup = StartupConfiguration.read(
                writeFile("{\"snapshot\":{\"file\":\"/var/lib/a folder/list\"}}"), loadBalancerSettings());

        assertEquals(
                List.of("c,1", "c 2"),
                messages.contracts().findByKey("a secret, long").orElseThrow().classes());
        assertTrue(messages.messagesApiKinds().contains("kind one"));
        assertEquals(Path.of("/var/lib/a folder/list"), startup.snapshotFile());
    }

    @Test
    public void invalidMessagesFileNamesTheSettingInOneLine() throws Exception {
        FileReader reader = MessagesConfiguration::read;

        assertRejected(reader, "{}", "team");
        assertRejected(reader, VALID_MESSAGES_FILE.replace("\"k\"", "\"\""), "key");
        assertRejected(reader, VALID_MESSAGES_FILE.replace("tcp", "smoke"), "transport");
        assertRejected(reader, VALID_MESSAGES_FILE.replace("\"requests\":1,", ""), "requests");
        assertRejected(reader, VALID_MESSAGES_FILE.replace("}}]", "}}," + VALID_TEAM + "]"), "same key");
        assertRejected(reader, VALID_MESSAGES_FILE.replace("127.0.0.1:1", "?"), "listen");
        assertRejected(reader, VALID_MESSAGES_FILE.replace("\"tokens\":2", "\"tokens\":\"many\""), "tokens");
    }

    @Test
    public void filesUnderDeployAreValid() throws Exception {
        MessagesConfiguration messages = MessagesConfiguration.read(Path.of("../deploy/messages.json"));
        StartupConfiguration startup =
                StartupConfiguration.read(Path.of("../deploy/start.json"), loadBalancerSettings());
        StreamConfiguration streams = StreamConfiguration.read(Path.of("../deploy/streams.json"));

        assertEquals(2, messages.contracts().teams().size());
        assertTrue(startup.snapshotFile().isAbsolute());
        assertFalse(startup.isListTrusted());
        assertTrue(startup.restoreRules().emptyListHoldNanos() > 0);
        assertEquals(9901, streams.adminAddress().getPort());
        assertEquals(
                "the file says what holds without it",
                StreamConfiguration.defaults().timeouts(),
                streams.timeouts());
    }

    @Test
    public void startupDefaultsWriteNoSnapshotsAndDoNotTrustTheList() throws Exception {
        StartupConfiguration defaults = StartupConfiguration.defaults(loadBalancerSettings());

        assertNull(defaults.snapshotFile());
        assertFalse(defaults.isListTrusted());
        assertEquals(7 * 86_400L * 1_000_000_000L, defaults.maxSnapshotAgeNanos());
        assertEquals(
                StartupConfiguration.read(writeFile("{}"), loadBalancerSettings())
                        .restoreRules(),
                defaults.restoreRules());
    }

    @Test
    public void invalidStartupFileNamesTheSettingInOneLine() throws Exception {
        LoadBalancerSettings settings = loadBalancerSettings();
        FileReader reader = file -> StartupConfiguration.read(file, settings);

        assertRejected(reader, "[]", "JSON");
        assertRejected(reader, "{\"snapshots\":1}", "snapshots: no such setting");
        assertRejected(reader, "{\"probation\":{\"on\":\"maybe\"}}", "probation.on");
        assertRejected(reader, "{\"probation\":{\"proofs\":0}}", "probation.proofs");
        assertRejected(reader, "{\"probation\":{\"doubt-ms\":5000,\"longest-doubt-ms\":10}}", "longest-doubt-ms");
        assertRejected(reader, "{\"snapshot\":{\"least-interval-ms\":-1}}", "least-interval-ms");
        assertRejected(reader, "{\"empty-list\":{\"hold-ms\":\"x\"}}", "hold-ms");
    }

    @Test
    public void streamsFileWithoutAdminHasNoAdminListener() throws Exception {
        assertNull(StreamConfiguration.read(writeFile("{}")).adminAddress());
    }

    @Test
    public void pauseOfBackendsIsAtMostTheLongestSilenceUnlessItIsSet() throws Exception {
        assertEquals(400_000_000, pauseNanos("{\"silence\":{\"most-ms\":400}}"));
        assertEquals(4_500_000_000L, pauseNanos("{\"silence\":{\"most-ms\":4800}}"));
        assertEquals(1_000_000_000, pauseNanos("{\"silence\":{\"pause-ms\":1000}}"));
    }

    private long pauseNanos(String streamsFile) throws Exception {
        return StreamConfiguration.read(writeFile(streamsFile)).timeouts().backendPauseNanos();
    }

    @Test
    public void invalidStreamsFileNamesTheSettingInOneLine() throws Exception {
        FileReader reader = StreamConfiguration::read;

        assertRejected(reader, "[]", "JSON");
        assertRejected(reader, "{\"silence\":{\"last-ms\":1}}", "silence.last-ms: no such setting");
        assertRejected(reader, "{\"silence\":{\"learned\":\"maybe\"}}", "silence.learned");
        assertRejected(reader, "{\"silence\":{\"most-ms\":5000}}", "silence.most-ms");
        assertRejected(reader, "{\"silence\":{\"pause-ms\":2000,\"most-ms\":1000}}", "silence.pause-ms: longer than");
        assertRejected(reader, "{\"silence\":{\"suspicion\":1}}", "silence.suspicion");
        assertRejected(reader, "{\"readers\":{\"most-held-bytes\":1}}", "most-held-bytes");
        assertRejected(reader, "{\"readers\":{\"patience-ms\":0}}", "readers.patience-ms");
        assertRejected(reader, "{\"admin\":{\"listen\":\"here\"}}", "admin.listen");
        assertRejected(reader, "{\"admin\":{\"log-every-ms\":-1}}", "admin.log-every-ms");
    }
}
