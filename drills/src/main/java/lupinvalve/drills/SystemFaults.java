package lupinvalve.drills;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * System faults for one process: steps of the wall clock, and system calls that fail in ways that Linux documents. A
 * library compiled from {@code faults.c} is loaded by LD_PRELOAD, intercepts calls of the C library, and reads from a
 * mapped file which are to fail.
 */
public final class SystemFaults {
    /** The kinds of faults, in the order of their words in {@code faults.c}. */
    public enum Kind {
        /** Microseconds added to the wall clock. */
        CLOCK,
        /** One of this many calls fails, as for all kinds below: ECONNABORTED, ENFILE and ENOBUFS in turn. */
        ACCEPT,
        /** ENFILE and ENOBUFS. */
        SOCKET,
        /** EADDRNOTAVAIL, ENETUNREACH and ENOBUFS. */
        CONNECT,
        /** EINTR. */
        EPOLL,
        /** Only one byte of a socket is read or written, however many were requested. */
        SHORT,
        /** ETIMEDOUT and EHOSTUNREACH on a connection that is up. */
        BROKEN
    }

    private static final int WORD_COUNT = 64;
    private static final int COUNTERS_OFFSET = 16;
    private static final int COMPILE_SECONDS = 60;
    private static final String SOURCE = "faults.c";
    private final Path library;
    private final Path control;
    private final MappedByteBuffer words;

    private SystemFaults(Path library, Path control, MappedByteBuffer words) {
        this.library = library;
        this.control = control;
        this.words = words;
    }

    /** Compiles the library in a folder; returns null where there is no C compiler. */
    public static Path build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE);
        try (InputStream in = SystemFaults.class.getResourceAsStream(SOURCE)) {
            Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
        }
        Path library = folder.resolve("faults.so");
        Process compiler;
        try {
            compiler = new ProcessBuilder(
                            "cc", "-shared", "-fPIC", "-O1", "-o", library.toString(), source.toString(), "-ldl")
                    .inheritIO()
                    .start();
        } catch (IOException e) {
            return null;
        }
        if (!compiler.waitFor(COMPILE_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException("cc failed or took longer than " + COMPILE_SECONDS + " s compiling " + source);
        }
        return library;
    }

    /** The faults of one process, none at first, with a control file of its own. */
    public static SystemFaults of(Path library, Path control) throws IOException {
        try (FileChannel file = FileChannel.open(
                control, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer words = file.map(FileChannel.MapMode.READ_WRITE, 0, WORD_COUNT * (long) Long.BYTES);
            words.order(ByteOrder.nativeOrder());
            return new SystemFaults(library, control, words);
        }
    }

    /** The variables that the process's environment must have. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAULT_CONTROL", control.toString());
    }

    /** Sets a fault from now on: microseconds for CLOCK, else one of how many calls fails; 0 for no fault. */
    public void set(Kind kind, long value) {
        words.putLong(kind.ordinal() * Long.BYTES, value);
    }

    /** Ends all faults; the clock is correct again. */
    public void heal() {
        for (Kind kind : Kind.values()) {
            set(kind, 0);
        }
    }

    /** How many calls were made to fail. */
    public long count(Kind kind) {
        return words.getLong((COUNTERS_OFFSET + kind.ordinal()) * Long.BYTES);
    }
}
