package lupinvalve.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Processor time and memory of a process from /proc, and sizes of files. */
final class ProcessCounters {
    private static final long NANOS_PER_TICK = 10_000_000;
    /** Index of the user time in /proc/PID/stat, counted from the field after the command's name. */
    private static final int USER_TIME_FIELD = 11;
    /** Index of the system time, counted likewise from the field after the command's name. */
    private static final int SYSTEM_TIME_FIELD = 12;

    private static final long BYTES_PER_KILOBYTE = 1024;

    private ProcessCounters() {}

    /** Returns the processor time that a process has used so far, in nanoseconds, or -1 if it has exited. */
    static long cpuNanos(long pid) {
        try {
            return cpuNanos(Files.readString(Path.of("/proc/" + pid + "/stat")));
        } catch (IOException e) {
            return -1;
        }
    }

    /** Parses the processor time from the text of /proc/PID/stat. */
    static long cpuNanos(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD])) * NANOS_PER_TICK;
    }

    /** Reads the resident memory from a /proc/PID/status file. */
    static long residentBytes(Path status) throws IOException {
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KILOBYTE;
            }
        }
        return 0;
    }

    /** Returns the resident memory of a process, or 0 if it has exited. */
    static long residentBytes(long pid) {
        try {
            return residentBytes(Path.of("/proc/" + pid + "/status"));
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns the total size of the files in a folder whose names begin with a prefix. */
    static long fileBytes(Path folder, String prefix) throws IOException {
        long sum = 0;
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.getFileName().toString().startsWith(prefix))
                    .toList()) {
                sum += Files.exists(file) ? Files.size(file) : 0;
            }
        }
        return sum;
    }
}
