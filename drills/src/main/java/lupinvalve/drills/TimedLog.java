package lupinvalve.drills;

import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the rig did, a line each with its Unix time in milliseconds, beside the daemons' logs. */
final class TimedLog implements Closeable {
    private final PrintStream out;

    TimedLog(Path file) throws IOException {
        out = new PrintStream(Files.newOutputStream(file), true, StandardCharsets.UTF_8);
    }

    /** Writes a line. */
    void said(String line) {
        out.println(System.currentTimeMillis() + " " + line);
    }

    @Override
    public void close() {
        out.close();
    }
}
