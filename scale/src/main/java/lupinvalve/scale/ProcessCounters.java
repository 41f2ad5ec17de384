package lupinvalve.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** What the system counts of a process, and how long files are. */
final class ProcessCounters {
    private static final long NANOS_A_TICK = 10_000_000;
    /** Fields after the command's name in a process's stat: its time as a program and in the system. */
    private static final int USER_TIME = 11;

    private static final int SYSTEM_TIME = 12;
    private static final long KILO = 1024;

    private ProcessCounters() {}

    /** Processor time that a process has taken so far, or -1 where it is gone. */
    static long cpuNanos(long pid) {
        try {
            return cpuNanos(Files.readString(Path.of("/proc/" + pid + "/stat")));
        } catch (IOException e) {
            return -1;
        }
    }

    /** The same of the text of its stat. */
    static long cpuNanos(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME])) * NANOS_A_TICK;
    }

    /** Resident memory by a process's status. */
    static long residentBytes(Path status) throws IOException {
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * KILO;
            }
        }
        return 0;
    }

    /** Resident memory of a process, or 0 where it is gone. */
    static long residentBytes(long pid) {
        try {
            return residentBytes(Path.of("/proc/" + pid + "/status"));
        } catch (IOException e) {
            return 0;
        }
    }

    /** How long all files of a folder are whose names begin so. */
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
