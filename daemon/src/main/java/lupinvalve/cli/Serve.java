package lupinvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.log.Log;
import org.kohsuke.args4j.Option;

/** Runs one pooler until the process receives SIGTERM. */
public class Serve extends ConfigFileOptions implements Main.Command {
    @Option(name = "--debug", usage = "log each attempt")
    private boolean debug;

    private volatile int exitCode;

    private void exitOnThreadFailure() {
        Thread.setDefaultUncaughtExceptionHandler(new ThreadFailureHandler(
                code -> {
                    exitCode = code;
                    System.exit(code);
                },
                Runtime.getRuntime()::halt));
    }

    /** Creates the daemon; a fault-injection launcher overrides this to open its control plane in another way. */
    Daemon daemon(NodeConfig node, OperatorConfig operator, Path sharedDirectory) throws IOException {
        return new Daemon(node, operator, sharedDirectory);
    }

    @Override
    public int run() throws Exception {
        if (debug) {
            Log.setLevel(Log.Level.DEBUG);
        }
        Reload reload = new Reload(this);
        OperatorConfig operator = operatorConfig();
        String sharedDirectory = System.getenv("TMPDIR");
        NodeConfig node = nodeConfig(operator);
        Log.info(
                "%s starts: list of the file at revision %d with %d db nodes, discovery at %s, memory %d MB, sockets %d",
                node.name(),
                node.known().revision(),
                node.known().entries().size(),
                node.discovery(),
                node.memoryMb(),
                node.sockets());
        Daemon daemon = daemon(
                node, operator, sharedDirectory == null || sharedDirectory.isEmpty() ? null : Path.of(sharedDirectory));
        exitOnThreadFailure();
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            // On SIGTERM, accepted requests are answered first; the exit code is then 0.
                            daemon.drain(stopped::countDown);
                            try {
                                stopped.await();
                                daemon.stopAndAwaitThreads();
                            } catch (InterruptedException e) {
                                Log.warn("interrupted while draining; the process exits with requests unanswered");
                            }
                            Log.info("stopped");
                            Runtime.getRuntime().halt(exitCode);
                        },
                        "drain"));
        daemon.start();
        reload.daemonStarted(daemon);
        stopped.await();
        return 0;
    }
}
