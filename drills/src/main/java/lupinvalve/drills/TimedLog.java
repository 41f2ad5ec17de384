package lupinvalve.drills;

import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Log of what the drill did, beside the daemons' logs; each line begins with a Unix time in milliseconds. */
final class TimedLog implements Closeable {
    private final PrintStream out;

    TimedLog(Path file) throws IOException {
        out = new PrintStream(Files.newOutputStream(file), true, StandardCharsets.UTF_8);
    }

    /** Writes a line with the current time. */
    void write(String line) {
        out.println(System.currentTimeMillis() + " " + line);
    }

    @Override
    public void close() {
        out.close();
    }
}
