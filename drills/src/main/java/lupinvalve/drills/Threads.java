package lupinvalve.drills;

import java.io.IOException;

/** Threads of stand-ins and proxies, which end with their sockets. */
final class Threads {
    /** What ends quietly once a peer has gone. */
    interface Work {
        void run() throws IOException, InterruptedException;
    }

    private Threads() {}

    static Thread start(String name, Work work) {
        Thread thread = new Thread(quiet(work), name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The same work, ending without a word once a peer has gone. */
    static Runnable quiet(Work work) {
        return () -> {
            try {
                work.run();
            } catch (IOException e) {
                // A peer has gone, or what it belonged to is closed.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
