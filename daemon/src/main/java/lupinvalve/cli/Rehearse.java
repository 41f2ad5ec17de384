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
 * Serves some requests on loopback, from start to drain, so that the JVM loads every class of the request path. The
 * build runs it with {@code -XX:ArchiveClassesAtExit}: with the resulting archive for class data sharing, a start need
 * not read and verify those classes again.
 */
public final class Rehearse extends ConfigFileOptions implements Main.Command {
    private static final int REQUESTS_COUNT = 200;

    @Override
    public int run() throws Exception {
        NodeConfig config = nodeConfig(OperatorConfig.NONE);
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
                served = sendRequests(client, config.site().settings().classes());
            }
            CountDownLatch drained = new CountDownLatch(1);
            daemon.drain(drained::countDown);
            drained.await();
            daemon.stop();
        }
        Log.info("rehearsed: %d of %d requests served", served, REQUESTS_COUNT);
        // On a busy machine some requests may be rejected; the archive is useful all the same, as most of the request
        // path was executed.
        return served >= REQUESTS_COUNT * 9 / 10 ? 0 : 1;
    }

    private static int sendRequests(Socket client, List<RequestClass> classes) throws IOException {
        CountDownLatch remaining = new CountDownLatch(REQUESTS_COUNT);
        ClientScript script = new ClientScript(classes, "r", REQUESTS_COUNT, remaining);
        client.setSoTimeout(10_000);
        client.getOutputStream().write(ClientScript.startupMessage());
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        byte[] buffer = new byte[8192];
        while (remaining.getCount() > 0) {
            int readBytes = client.getInputStream().read(buffer);
            if (readBytes < 0) {
                throw new IOException("the pooler closed the connection");
            }
            answer.write(buffer, 0, readBytes);
            byte[] next = script.answer(answer.toByteArray());
            if (next.length > 0) {
                answer.reset();
                client.getOutputStream().write(next);
            }
        }
        return script.served();
    }
}
