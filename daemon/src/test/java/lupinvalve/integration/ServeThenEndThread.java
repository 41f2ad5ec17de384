package lupinvalve.integration;

import java.io.IOException;
import java.io.UncheckedIOException;
import lupinvalve.cli.Main;

/** Runs the program, and ends a thread of it by an {@code Error} once its name arrives on standard input. */
final class ServeThenEndThread {
    private static final int MAX_ERRORS = 100;
    private static final long ERROR_INTERVAL_MILLIS = 20;

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

    private static void endThread(String name) {
        for (Thread thread : Thread.getAllStackTraces().keySet()) {
            if (thread.getName().equals(name)) {
                endThread(thread);
            }
        }
    }

    /** Repeats the error until the thread has ended: where a connection's handler meets it, the thread goes on. */
    @SuppressWarnings({"deprecation", "removal"})
    private static void endThread(Thread thread) {
        for (int i = 0; i < MAX_ERRORS && thread.isAlive(); i++) {
            thread.stop();
            try {
                thread.join(ERROR_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
