package fawnlb.config;

import fawnlb.stream.StreamTimeouts;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The configuration of response streams and of the admin listener.
 *
 * @param timeouts when streams are ended
 * @param adminAddress where the admin listener accepts connections, null if there is none
 * @param statisticsLogIntervalNanos the time between two tables of statistics in the log, 0 for none
 */
public record StreamConfiguration(
        StreamTimeouts timeouts, InetSocketAddress adminAddress, long statisticsLogIntervalNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MILLIS_PER_HOUR = 3_600_000;
    /** Clients may be left waiting for 5 s at most after a backend's last event, and a timer may fire late. */
    private static final long MAX_SILENCE_MILLIS = 4800;

    private static final long MIN_BUFFERED_BYTES = 64 << 10;
    private static final long MAX_BUFFERED_BYTES = 1L << 40;

    /** The configuration that holds without a file: no admin listener, and no statistics in the log. */
    public static StreamConfiguration defaults() {
        return new StreamConfiguration(StreamTimeouts.defaults(), null, 0);
    }

    /**
     * Reads the file.
     *
     * @throws ConfigurationException if the file cannot be read, or holds an invalid or unknown setting
     */
    public static StreamConfiguration read(Path file) throws ConfigurationException {
        ConfigurationFile settings = ConfigurationFile.read(file);
        StreamTimeouts timeouts = parseTimeouts(settings);
        String adminAddress = settings.optionalText("admin.listen");
        long statisticsLogIntervalNanos =
                settings.optionalMillisAsNanos("admin.log-every-ms", 0, 0, 24 * MILLIS_PER_HOUR);
        settings.rejectUnknownSettings();
        return new StreamConfiguration(
                timeouts,
                adminAddress == null ? null : AddressParser.parse("admin.listen", adminAddress),
                statisticsLogIntervalNanos);
    }

    private static StreamTimeouts parseTimeouts(ConfigurationFile settings) throws ConfigurationException {
        StreamTimeouts defaults = StreamTimeouts.defaults();
        long defaultMaxSilenceMillis = defaults.maxSilenceNanos() / NANOS_PER_MILLI;
        long maxSilenceNanos =
                settings.optionalMillisAsNanos("silence.most-ms", defaultMaxSilenceMillis, 10, MAX_SILENCE_MILLIS);
        long defaultPauseMillis = Math.min(defaults.backendPauseNanos(), maxSilenceNanos) / NANOS_PER_MILLI;
        long defaultFirstEventMillis = defaults.minFirstEventWaitNanos() / NANOS_PER_MILLI;
        long defaultSharePercent = Math.round(defaults.commonSilenceShare() * 100);
        long defaultClientMillis = defaults.clientTimeoutNanos() / NANOS_PER_MILLI;
        StreamTimeouts timeouts = new StreamTimeouts(
                settings.readBoolean("silence.learned", defaults.isAdaptive()),
                settings.optionalNumber("silence.suspicion", (long) defaults.suspicionLevel(), 2, 30),
                settings.optionalMillisAsNanos("silence.pause-ms", defaultPauseMillis, 0, MAX_SILENCE_MILLIS),
                maxSilenceNanos,
                settings.optionalMillisAsNanos(
                        "silence.first-event-least-ms", defaultFirstEventMillis, 10, MILLIS_PER_HOUR),
                settings.optionalNumber("silence.majority-percent", defaultSharePercent, 1, 100) / 100.0,
                settings.optionalMillisAsNanos("readers.patience-ms", defaultClientMillis, 100, MILLIS_PER_HOUR),
                settings.optionalNumber(
                        "readers.most-held-bytes",
                        defaults.maxBufferedBytes(),
                        MIN_BUFFERED_BYTES,
                        MAX_BUFFERED_BYTES));
        if (timeouts.backendPauseNanos() > timeouts.maxSilenceNanos()) {
            throw settings.invalid("silence.pause-ms", "longer than silence.most-ms");
        }
        return timeouts;
    }
}
