package fawnlb.cli;

import fawnlb.snapshot.Snapshot;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Locale;

/** A remembered list as a person reads it. */
final class SnapshotTable {
    private SnapshotTable() {}

    /** Prints it with ages counted from {@code now}, in milliseconds since the epoch. */
    static void print(Snapshot snapshot, long now, PrintStream out) {
        out.println("written " + Instant.ofEpochMilli(snapshot.savedAt()) + ", " + age(now, snapshot.savedAt())
                + " ago; revision " + snapshot.revision() + "; "
                + snapshot.entries().size() + " target(s)");
        String row = "%-16s %-22s %-14s %-14s %-9s %9s %9s %9s%n";
        out.printf(row, "id", "address", "zone", "kind", "phase", "started", "listed", "answered");
        snapshot.entries().stream()
                .sorted(Comparator.comparing(entry -> entry.member().id()))
                .forEach(entry -> out.printf(
                        row,
                        entry.member().id(),
                        entry.member().host() + ':' + entry.member().port(),
                        entry.member().zone(),
                        entry.member().kind(),
                        entry.member().phase().name().toLowerCase(Locale.ROOT),
                        age(now, entry.member().upSinceMillis()),
                        age(now, entry.listedAt()),
                        age(now, entry.answeredAt())));
    }

    /** So long ago, in its two largest units; 0 stands for never. */
    private static String age(long now, long at) {
        if (at <= 0) {
            return "-";
        }
        Duration age = Duration.ofMillis(Math.abs(now - at));
        String words = age.toDays() > 0
                ? age.toDays() + "d" + age.toHoursPart() + "h"
                : age.toHours() > 0
                        ? age.toHours() + "h" + age.toMinutesPart() + "m"
                        : age.toMinutes() > 0
                                ? age.toMinutes() + "m" + age.toSecondsPart() + "s"
                                : age.toSeconds() + "." + age.toMillisPart() / 100 + "s";
        return at > now ? "-" + words : words;
    }
}
