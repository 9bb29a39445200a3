package fawnlb.cli;

import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.Snapshot.Entry;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Locale;

/** Prints a snapshot as a table for people. */
final class SnapshotPrinter {
    private static final String ROW_FORMAT = "%-16s %-22s %-14s %-14s %-9s %9s %9s %9s%n";

    private SnapshotPrinter() {}

    /**
     * Prints the snapshot, a line for each endpoint in the order of their ids.
     *
     * @param nowMillis the time from which ages are counted, in milliseconds since the epoch
     */
    static void print(Snapshot snapshot, long nowMillis, PrintStream out) {
        out.println("written " + Instant.ofEpochMilli(snapshot.savedAtMillis()) + ", "
                + formatAge(nowMillis, snapshot.savedAtMillis())
                + " ago; revision " + snapshot.revision() + "; "
                + snapshot.entries().size() + " target(s)");
        out.printf(ROW_FORMAT, "id", "address", "zone", "kind", "phase", "started", "listed", "answered");
        snapshot.entries().stream()
                .sorted(Comparator.comparing(entry -> entry.endpoint().id()))
                .forEach(entry -> printRow(entry, nowMillis, out));
    }

    private static void printRow(Entry entry, long nowMillis, PrintStream out) {
        DiscoveredEndpoint endpoint = entry.endpoint();
        out.printf(
                ROW_FORMAT,
                endpoint.id().name(),
                endpoint.hostAndPort(),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.phase().name().toLowerCase(Locale.ROOT),
                formatAge(nowMillis, endpoint.upSinceMillis()),
                formatAge(nowMillis, entry.lastListedAtMillis()),
                formatAge(nowMillis, entry.lastResponseAtMillis()));
    }

    /** Formats an age in its two largest units. A timestamp of 0 stands for never, one after now gets a minus. */
    private static String formatAge(long nowMillis, long timestampMillis) {
        if (timestampMillis <= 0) {
            return "-";
        }
        String age = formatDuration(Duration.ofMillis(Math.abs(nowMillis - timestampMillis)));
        return timestampMillis > nowMillis ? "-" + age : age;
    }

    private static String formatDuration(Duration duration) {
        if (duration.toDays() > 0) {
            return duration.toDays() + "d" + duration.toHoursPart() + "h";
        }
        if (duration.toHours() > 0) {
            return duration.toHours() + "h" + duration.toMinutesPart() + "m";
        }
        if (duration.toMinutes() > 0) {
            return duration.toMinutes() + "m" + duration.toSecondsPart() + "s";
        }
        return duration.toSeconds() + "." + duration.toMillisPart() / 100 + "s";
    }
}
