package lupinvalve.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.log.Log;
import lupinvalve.routing.RequestClass;
import lupinvalve.warmup.ClientScript;
import lupinvalve.warmup.StubServers;

/**
 * Plays a moment of service on loopback, from start to drain, so that the JVM that runs it has met every class of the
 * request path. The build runs it with {@code -XX:ArchiveClassesAtExit}: what the JVM then writes down spares each
 * start reading and checking those classes again.
 */
public final class Rehearse extends Files implements Main.Command {
    private static final int REQUESTS = 200;

    @Override
    public int run() throws Exception {
        NodeConfig config = node(OperatorConfig.NONE);
        int served = 0;
        try (StubServers stubServers = new StubServers()) {
            Daemon daemon = new Daemon(
                    new NodeConfig(
                            config.name(),
                            "127.0.0.1:0",
                            stubServers.discovery(),
                            config.seed(),
                            config.cores(),
                            config.memoryMb(),
                            config.sockets(),
                            config.known(),
                            config.site(),
                            null),
                    OperatorConfig.NONE);
            daemon.start();
            try (Socket client =
                    new Socket(daemon.address().getAddress(), daemon.address().getPort())) {
                served = ask(client, config.site().settings().classes());
            }
            CountDownLatch drained = new CountDownLatch(1);
            daemon.drain(drained::countDown);
            drained.await();
            daemon.stop();
        }
        Log.info("rehearsed: %d of %d requests served", served, REQUESTS);
        // A refusal on a busy machine is no reason to do without the archive: most of the path has been met.
        return served >= REQUESTS * 9 / 10 ? 0 : 1;
    }

    private static int ask(Socket client, List<RequestClass> classes) throws IOException {
        CountDownLatch left = new CountDownLatch(REQUESTS);
        ClientScript script = new ClientScript(classes, "r", REQUESTS, left);
        client.setSoTimeout(10_000);
        client.getOutputStream().write(ClientScript.startupMessage());
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        byte[] read = new byte[8192];
        while (left.getCount() > 0) {
            int count = client.getInputStream().read(read);
            if (count < 0) {
                throw new IOException("the pooler closed the connection");
            }
            answer.write(read, 0, count);
            byte[] next = script.answer(answer.toByteArray());
            if (next.length > 0) {
                answer.reset();
                client.getOutputStream().write(next);
            }
        }
        return script.served();
    }
}
