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

    /** The daemon that is run; a laboratory may have another way to its group. */
    Daemon daemon(NodeConfig node, OperatorConfig operator, Path shared) throws IOException {
        return new Daemon(node, operator, shared);
    }

    @Override
    public int run() throws Exception {
        if (debug) {
            Log.least(Log.Level.DEBUG);
        }
        Reload reload = new Reload(this);
        OperatorConfig operator = operator();
        String shared = System.getenv("TMPDIR");
        Daemon daemon = daemon(node(operator), operator, shared == null || shared.isEmpty() ? null : Path.of(shared));
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
