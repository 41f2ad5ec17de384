package lupinvalve.drills;

import java.io.IOException;

/** Daemon threads of stand-ins and proxies, which end when their sockets are closed. */
final class Threads {
    /** Work that ends with an IOException once its peer has disconnected. */
    interface Work {
        void run() throws IOException, InterruptedException;
    }

    private Threads() {}

    static Thread start(String name, Work work) {
        Thread thread = new Thread(ignoringDisconnects(work), name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Wraps work so that it ends without an error once its peer has disconnected. */
    static Runnable ignoringDisconnects(Work work) {
        return () -> {
            try {
                work.run();
            } catch (IOException e) {
                // The peer has disconnected, or the owner of the thread was closed.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
