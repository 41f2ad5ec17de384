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
 * Faults of the system for one process: a wall clock that is stepped, and calls that fail in ways that Linux documents.
 * A library built from {@code faults.c} stands before the C library's own calls (LD_PRELOAD) and reads from a mapped
 * file what is to fail.
 */
public final class SystemFaults {
    /** What can be made to go wrong; the order is that of the words in {@code faults.c}. */
    public enum Kind {
        /** Microseconds added to the wall clock. */
        CLOCK,
        /** Of so many calls one fails: ECONNABORTED, ENFILE and ENOBUFS in turn. */
        ACCEPT,
        /** ENFILE and ENOBUFS. */
        SOCKET,
        /** EADDRNOTAVAIL, ENETUNREACH and ENOBUFS. */
        CONNECT,
        /** EINTR. */
        EPOLL,
        /** One byte of a socket is read or written, however many were asked for. */
        SHORT,
        /** ETIMEDOUT and EHOSTUNREACH on a connection that is up. */
        BROKEN
    }

    private static final int WORDS = 64, COUNTS = 16, COMPILE_SECONDS = 60;
    private static final String SOURCE = "faults.c";
    private final Path library, control;
    private final MappedByteBuffer words;

    private SystemFaults(Path library, Path control, MappedByteBuffer words) {
        this.library = library;
        this.control = control;
        this.words = words;
    }

    /** Builds the library in a folder; null where there is no C compiler. */
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
            throw new IOException("the library of system faults can't be built");
        }
        return library;
    }

    /** The faults of one process, none at first, kept in a file of its own. */
    public static SystemFaults of(Path library, Path control) throws IOException {
        try (FileChannel file = FileChannel.open(
                control, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer words = file.map(FileChannel.MapMode.READ_WRITE, 0, WORDS * (long) Long.BYTES);
            words.order(ByteOrder.nativeOrder());
            return new SystemFaults(library, control, words);
        }
    }

    /** What the process's environment must hold. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAULT_CONTROL", control.toString());
    }

    /** From now on; 0 for no fault. */
    public void set(Kind kind, long value) {
        words.putLong(kind.ordinal() * Long.BYTES, value);
    }

    /** No faults from now on; the clock is right again. */
    public void heal() {
        for (Kind kind : Kind.values()) {
            set(kind, 0);
        }
    }

    /** How many calls were made to fail. */
    public long count(Kind kind) {
        return words.getLong((COUNTS + kind.ordinal()) * Long.BYTES);
    }
}
