package fawnlb.config;

import fawnlb.stream.Rules;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The operators' file for streams. {@code admin}: where the running node answers questions, null if nowhere;
 * {@code figuresEvery}: nanoseconds between two tables of figures in the log, 0 for none.
 */
public record StreamConfig(Rules rules, InetSocketAddress admin, long figuresEvery) {
    private static final long MS = 1_000_000;
    private static final long HOUR_MS = 3_600_000;
    /** Clients are left waiting at most 5 s after a backend's last event, and a timer may come late. */
    private static final long MAX_SILENCE_MS = 4800;

    /** What holds without a file: the admin listener is off, and the log has no figures. */
    public static StreamConfig none() {
        return new StreamConfig(Rules.standard(), null, 0);
    }

    public static StreamConfig read(Path file) throws NodeConfig.Bad {
        OperatorFile in = new OperatorFile(file);
        Rules usual = Rules.standard();
        Rules rules = new Rules(
                in.truth("silence.learned", usual.learned()),
                in.number("silence.suspicion", (long) usual.suspicion(), 2, 30),
                in.number("silence.pause-ms", usual.pause() / MS, 0, MAX_SILENCE_MS) * MS,
                in.number("silence.most-ms", usual.mostSilence() / MS, 10, MAX_SILENCE_MS) * MS,
                in.number("silence.first-event-least-ms", usual.leastWait() / MS, 10, HOUR_MS) * MS,
                in.number("silence.majority-percent", Math.round(usual.majority() * 100), 1, 100) / 100.0,
                in.number("readers.patience-ms", usual.readerPatience() / MS, 100, HOUR_MS) * MS,
                in.number("readers.most-held-bytes", usual.mostHeld(), 64 << 10, 1L << 40));
        if (rules.pause() > rules.mostSilence()) {
            throw in.bad("silence.pause-ms", "longer than silence.most-ms");
        }
        String admin = in.value("admin.listen");
        long every = in.number("admin.log-every-ms", 0, 0, 24 * HOUR_MS) * MS;
        in.nothingElse();
        return new StreamConfig(rules, admin == null ? null : NodeConfig.address("admin.listen", admin), every);
    }
}
