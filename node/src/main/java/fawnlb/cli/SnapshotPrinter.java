package fawnlb.cli;

import fawnlb.snapshot.Snapshot;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Locale;

/** A remembered list as a person reads it. */
final class SnapshotPrinter {
    private SnapshotPrinter() {}

    /** Prints it with ages counted from {@code nowMillis}, in milliseconds since the epoch. */
    static void print(Snapshot snapshot, long nowMillis, PrintStream out) {
        out.println("written " + Instant.ofEpochMilli(snapshot.savedAtMillis()) + ", "
                + formatAge(nowMillis, snapshot.savedAtMillis())
                + " ago; revision " + snapshot.revision() + "; "
                + snapshot.entries().size() + " target(s)");
        String rowFormat = "%-16s %-22s %-14s %-14s %-9s %9s %9s %9s%n";
        out.printf(rowFormat, "id", "address", "zone", "kind", "phase", "started", "listed", "answered");
        snapshot.entries().stream()
                .sorted(Comparator.comparing(entry -> entry.endpoint().id()))
                .forEach(entry -> out.printf(
                        rowFormat,
                        entry.endpoint().id(),
                        entry.endpoint().host() + ':' + entry.endpoint().port(),
                        entry.endpoint().zone(),
                        entry.endpoint().kind(),
                        entry.endpoint().phase().name().toLowerCase(Locale.ROOT),
                        formatAge(nowMillis, entry.endpoint().upSinceMillis()),
                        formatAge(nowMillis, entry.lastListedAtMillis()),
                        formatAge(nowMillis, entry.lastResponseAtMillis())));
    }

    /** So long ago, in its two largest units; 0 stands for never. */
    private static String formatAge(long nowMillis, long timestampMillis) {
        if (timestampMillis <= 0) {
            return "-";
        }
        Duration age = Duration.ofMillis(Math.abs(nowMillis - timestampMillis));
        String text = age.toDays() > 0
                ? age.toDays() + "d" + age.toHoursPart() + "h"
                : age.toHours() > 0
                        ? age.toHours() + "h" + age.toMinutesPart() + "m"
                        : age.toMinutes() > 0
                                ? age.toMinutes() + "m" + age.toSecondsPart() + "s"
                                : age.toSeconds() + "." + age.toMillisPart() / 100 + "s";
        return timestampMillis > nowMillis ? "-" + text : text;
    }
}
