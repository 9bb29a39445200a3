package fawnlb.lab.node;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What Linux says in /proc about the resources of a running process. */
final class ProcessStatistics {
    private static final Pattern RESIDENT_MEMORY = Pattern.compile("(?m)^VmRSS:\\s*(\\d+) kB$");
    private static final Pattern PEAK_MEMORY = Pattern.compile("(?m)^VmHWM:\\s*(\\d+) kB$");
    private static final int BYTES_PER_KILOBYTE = 1024;
    /** Positions of user and system time in the line of /proc/PID/stat, counted behind the process's name. */
    private static final int USER_TICKS_FIELD = 11;

    private static final int SYSTEM_TICKS_FIELD = 12;
    private static final double SECONDS_PER_TICK = 0.01;

    private final Path directory;

    ProcessStatistics(long pid) {
        directory = Path.of("/proc", Long.toString(pid));
    }

    long residentBytes() throws IOException {
        return readStatusBytes(RESIDENT_MEMORY);
    }

    long peakResidentBytes() throws IOException {
        return readStatusBytes(PEAK_MEMORY);
    }

    private long readStatusBytes(Pattern line) throws IOException {
        Matcher found = line.matcher(Files.readString(directory.resolve("status")));
        return found.find() ? Long.parseLong(found.group(1)) * BYTES_PER_KILOBYTE : 0;
    }

    double cpuSeconds() throws IOException {
        String line = Files.readString(directory.resolve("stat"));
        String[] fields = line.substring(line.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
        return ticks * SECONDS_PER_TICK;
    }

    int openDescriptors() {
        String[] descriptors = new File(directory.toFile(), "fd").list();
        return descriptors == null ? 0 : descriptors.length;
    }
}
