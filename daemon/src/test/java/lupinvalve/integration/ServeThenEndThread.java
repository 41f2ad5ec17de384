package lupinvalve.integration;

import java.io.IOException;
import java.io.UncheckedIOException;
import lupinvalve.cli.Main;

/** Runs the program, and ends a thread of it by an {@code Error} once its name arrives on standard input. */
final class ServeThenEndThread {
    private ServeThenEndThread() {}

    public static void main(String[] args) throws Exception {
        Thread reader = new Thread(() -> endThread(readLine()));
        reader.setDaemon(true);
        reader.start();
        Main.main(args);
    }

    private static String readLine() {
        try {
            return readLineOrFail();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String readLineOrFail() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = System.in.read(); next != '\n'; next = System.in.read()) {
            line.append((char) next);
        }
        return line.toString();
    }

    @SuppressWarnings({"deprecation", "removal"})
    private static void endThread(String name) {
        for (Thread thread : Thread.getAllStackTraces().keySet()) {
            if (thread.getName().equals(name)) {
                thread.stop();
            }
        }
    }
}
