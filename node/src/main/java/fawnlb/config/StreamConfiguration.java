package fawnlb.config;

import fawnlb.stream.StreamTimeouts;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The operators' file for streams. {@code adminAddress}: where the running node answers questions, null if nowhere;
 * {@code statisticsLogIntervalNanos}: nanoseconds between two tables of figures in the log, 0 for none.
 */
public record StreamConfiguration(
        StreamTimeouts timeouts, InetSocketAddress adminAddress, long statisticsLogIntervalNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MILLIS_PER_HOUR = 3_600_000;
    /** Clients are left waiting at most 5 s after a backend's last event, and a timer may come late. */
    private static final long MAX_SILENCE_MILLIS = 4800;

    /** What holds without a file: the admin listener is off, and the log has no figures. */
    public static StreamConfiguration defaults() {
        return new StreamConfiguration(StreamTimeouts.defaults(), null, 0);
    }

    public static StreamConfiguration read(Path file) throws ServerConfiguration.ConfigurationException {
        ConfigurationFile settings = new ConfigurationFile(file);
        StreamTimeouts defaultTimeouts = StreamTimeouts.defaults();
        StreamTimeouts timeouts = new StreamTimeouts(
                settings.readBoolean("silence.learned", defaultTimeouts.isAdaptive()),
                settings.readNumber("silence.suspicion", (long) defaultTimeouts.suspicionLevel(), 2, 30),
                settings.readNumber(
                                "silence.pause-ms",
                                defaultTimeouts.backendPauseNanos() / NANOS_PER_MILLI,
                                0,
                                MAX_SILENCE_MILLIS)
                        * NANOS_PER_MILLI,
                settings.readNumber(
                                "silence.most-ms",
                                defaultTimeouts.maxSilenceNanos() / NANOS_PER_MILLI,
                                10,
                                MAX_SILENCE_MILLIS)
                        * NANOS_PER_MILLI,
                settings.readNumber(
                                "silence.first-event-least-ms",
                                defaultTimeouts.minFirstEventWaitNanos() / NANOS_PER_MILLI,
                                10,
                                MILLIS_PER_HOUR)
                        * NANOS_PER_MILLI,
                settings.readNumber(
                                "silence.majority-percent",
                                Math.round(defaultTimeouts.commonSilenceShare() * 100),
                                1,
                                100)
                        / 100.0,
                settings.readNumber(
                                "readers.patience-ms",
                                defaultTimeouts.clientTimeoutNanos() / NANOS_PER_MILLI,
                                100,
                                MILLIS_PER_HOUR)
                        * NANOS_PER_MILLI,
                settings.readNumber("readers.most-held-bytes", defaultTimeouts.maxBufferedBytes(), 64 << 10, 1L << 40));
        if (timeouts.backendPauseNanos() > timeouts.maxSilenceNanos()) {
            throw settings.invalid("silence.pause-ms", "longer than silence.most-ms");
        }
        String adminAddress = settings.optionalText("admin.listen");
        long statisticsLogIntervalNanos =
                settings.readNumber("admin.log-every-ms", 0, 0, 24 * MILLIS_PER_HOUR) * NANOS_PER_MILLI;
        settings.rejectUnknownSettings();
        return new StreamConfiguration(
                timeouts,
                adminAddress == null ? null : ServerConfiguration.parseAddress("admin.listen", adminAddress),
                statisticsLogIntervalNanos);
    }
}
