package lupinvalve.cli;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import lupinvalve.config.OperatorConfig;
import lupinvalve.log.Log;
import org.kohsuke.args4j.Option;

/** Runs one pooler until it is told to stop. */
public final class Serve extends Files implements Main.Command {
    @Option(name = "--debug", usage = "log each attempt")
    private boolean debug;

    @Override
    public int run() throws Exception {
        if (debug) {
            Log.least(Log.Level.DEBUG);
        }
        Reload reload = new Reload(this);
        OperatorConfig operator = operator();
        String shared = System.getenv("TMPDIR");
        Daemon daemon = new Daemon(node(operator), operator, shared == null || shared.isEmpty() ? null : Path.of(shared));
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            // SIGTERM: what was taken is answered first, and that is no failure.
            daemon.drain(stopped::countDown);
            try {
                stopped.await();
            } catch (InterruptedException e) {
                Log.warn("interrupted while draining");
            }
            daemon.leaveGroup();
            Log.info("stopped");
            Runtime.getRuntime().halt(0);
        }, "drain"));
        daemon.start();
        reload.serves(daemon);
        stopped.await();
        return 0;
    }
}
