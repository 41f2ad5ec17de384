package lupinvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.log.Log;
import org.kohsuke.args4j.Option;

/** Runs one pooler until it is told to stop. */
public class Serve extends Files implements Main.Command {
    @Option(name = "--debug", usage = "log each attempt")
    private boolean debug;
    /**
     * What the program ends with where one of its threads has ended by an error: an internal fault, as sysexits.h has
     * it.
     */
    private static final int EXIT_DEAD_THREAD = 70;

    private volatile int exitCode;

    /**
     * A thread that ends by an error serves nobody any more: the process answers what it has and ends, so that whoever
     * watches over it starts another.
     */
    private void endOnDeadThread() {
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
            Log.failure("thread " + thread.getName() + " has ended, and so does the program", failure);
            exitCode = EXIT_DEAD_THREAD;
            // System.exit waits for the drain, which may need what the dying thread holds.
            new Thread(() -> System.exit(EXIT_DEAD_THREAD), "exit").start();
        });
    }

    /** The daemon that is run; a laboratory may have another way to its group. */
    Daemon daemon(NodeConfig node, OperatorConfig operator, Path shared) throws IOException {
        return new Daemon(node, operator, shared);
    }

    @Override
    public int run() throws Exception {
        if (debug) {
            Log.setLevel(Log.Level.DEBUG);
        }
        Reload reload = new Reload(this);
        OperatorConfig operator = operator();
        String shared = System.getenv("TMPDIR");
        NodeConfig node = node(operator);
        Log.info(
                "%s starts: list of the file at revision %d with %d db nodes, discovery at %s, memory %d MB, sockets %d",
                node.name(),
                node.known().revision(),
                node.known().entries().size(),
                node.discovery(),
                node.memoryMb(),
                node.sockets());
        Daemon daemon = daemon(node, operator, shared == null || shared.isEmpty() ? null : Path.of(shared));
        endOnDeadThread();
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            // SIGTERM: what was taken is answered first, and that is no failure.
                            daemon.drain(stopped::countDown);
                            try {
                                stopped.await();
                                daemon.stopWithThreads();
                            } catch (InterruptedException e) {
                                Log.warn("interrupted while draining");
                            }
                            Log.info("stopped");
                            Runtime.getRuntime().halt(exitCode);
                        },
                        "drain"));
        daemon.start();
        reload.serves(daemon);
        stopped.await();
        return 0;
    }
}
