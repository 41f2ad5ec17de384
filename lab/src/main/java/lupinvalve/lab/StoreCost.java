package lupinvalve.lab;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lupinvalve.cli.Daemon;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.drills.Scratch;
import lupinvalve.log.Log;
import lupinvalve.routing.RequestClass;
import lupinvalve.warmup.ClientScript;
import lupinvalve.warmup.StubServers;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Option;

/**
 * Measures what the store adds to the latency of requests: sends the same requests alternately to a pooler without a
 * store and to one that is a member of a group of three.
 */
public final class StoreCost implements Lab.Command {
    private static final int WARMUP_REQUESTS = 1000;
    /** Requests beyond the measured ones that a client's script holds; more than the warm-up uses. */
    private static final int EXTRA_SCRIPT_REQUESTS = 2000;

    private static final int STARTUP_MILLIS = 3000;
    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;
    private static final int READ_BUFFER_BYTES = 8192;
    private static final int MAX_LATENCY_SECONDS = 60;

    @Option(name = "--requests", usage = "number of requests to each of the two poolers")
    private int requests = 20_000;

    @Option(name = "--config", metaVar = "FILE", usage = "platform configuration to start from")
    private Path config = Path.of("example/config.json");

    private Path folder;

    /** A client on its own connection, which sends one request after another and records their latencies. */
    private static final class MeasuringClient implements Closeable {
        final Histogram latencies = new Histogram(TimeUnit.SECONDS.toMicros(MAX_LATENCY_SECONDS), 3);
        private final Socket socket;
        private final ClientScript script;
        private byte[] nextMessage;

        MeasuringClient(Daemon daemon, List<RequestClass> classes, String name, int requestCount) throws IOException {
            socket = new Socket(daemon.address().getAddress(), daemon.address().getPort());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            script = new ClientScript(classes, name, requestCount, new CountDownLatch(requestCount));
            nextMessage = ClientScript.startupMessage();
        }

        void runRequest() throws IOException {
            long startNanos = System.nanoTime();
            socket.getOutputStream().write(nextMessage);
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            byte[] buffer = new byte[READ_BUFFER_BYTES];
            boolean complete;
            do {
                int count = socket.getInputStream().read(buffer);
                if (count < 0) {
                    throw new IOException("the pooler closed the connection before the response was complete");
                }
                response.write(buffer, 0, count);
                byte[] bytes = response.toByteArray();
                // A response ends with the ReadyForQuery message of the idle state.
                complete = bytes.length >= 6 && bytes[bytes.length - 6] == 'Z' && bytes[bytes.length - 1] == 'I';
            } while (!complete);
            latencies.recordValue((System.nanoTime() - startNanos) / 1000);
            nextMessage = script.answer(response.toByteArray());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private Daemon daemon(NodeConfig baseConfig, StubServers stubServers, OperatorConfig.Store store) throws Exception {
        Daemon daemon = new Daemon(
                new NodeConfig(
                        baseConfig.name(),
                        "127.0.0.1:0",
                        stubServers.discovery(),
                        baseConfig.seed(),
                        baseConfig.cores(),
                        baseConfig.memoryMb(),
                        baseConfig.sockets(),
                        baseConfig.known(),
                        baseConfig.site(),
                        null),
                new OperatorConfig(0, null, store, null));
        daemon.start();
        return daemon;
    }

    @Override
    public int run(PrintStream out) throws Exception {
        Log.setLevel(Log.Level.ERROR);
        folder = Files.createTempDirectory("store-cost");
        List<Daemon> daemons = new ArrayList<>();
        NodeConfig baseConfig = NodeConfig.read(config, null);
        Map<String, String> addresses = Scratch.places(List.of("a", "b", "c"));
        try (StubServers stubServers = new StubServers()) {
            daemons.add(daemon(baseConfig, stubServers, null));
            for (String name : addresses.keySet()) {
                daemons.add(daemon(
                        baseConfig,
                        stubServers,
                        new OperatorConfig.Store(
                                "cost", name, folder.resolve(name), addresses.get(name), addresses, null, 0)));
            }
            Thread.sleep(STARTUP_MILLIS);
            List<RequestClass> classes = baseConfig.site().settings().classes();
            try (MeasuringClient withoutStore =
                            new MeasuringClient(daemons.get(0), classes, "w", requests + EXTRA_SCRIPT_REQUESTS);
                    MeasuringClient withStore =
                            new MeasuringClient(daemons.get(1), classes, "s", requests + EXTRA_SCRIPT_REQUESTS)) {
                for (int i = 0; i < requests + WARMUP_REQUESTS; i++) {
                    if (i == WARMUP_REQUESTS) {
                        withoutStore.latencies.reset();
                        withStore.latencies.reset();
                    }
                    withoutStore.runRequest();
                    withStore.runRequest();
                }
                out.printf(
                        "{\"requests\":%d,\"off_p50_us\":%d,\"off_p99_us\":%d,\"on_p50_us\":%d,\"on_p99_us\":%d,"
                                + "\"off_served\":%d,\"on_served\":%d}%n",
                        requests,
                        withoutStore.latencies.getValueAtPercentile(50),
                        withoutStore.latencies.getValueAtPercentile(99),
                        withStore.latencies.getValueAtPercentile(50),
                        withStore.latencies.getValueAtPercentile(99),
                        withoutStore.script.served(),
                        withStore.script.served());
            }
            return 0;
        } finally {
            daemons.forEach(Daemon::stop);
            Scratch.delete(folder);
        }
    }
}
