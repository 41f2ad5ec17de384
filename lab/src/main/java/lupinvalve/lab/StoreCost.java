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
 * What the store costs requests: the same ones by turns to a pooler without it and to one that leads a group of three.
 */
public final class StoreCost implements Lab.Command {
    @Option(name = "--requests", usage = "to each of the two")
    private int requests = 20_000;

    @Option(name = "--config", metaVar = "FILE", usage = "a platform's file to start from")
    private Path config = Path.of("example/config.json");

    private Path folder;

    /** One client's connection and the latencies that it saw. */
    private static final class Asker implements Closeable {
        final Histogram latencies = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);
        private final Socket socket;
        private final ClientScript script;
        private byte[] next;

        Asker(Daemon daemon, List<RequestClass> classes, String name, int most) throws IOException {
            socket = new Socket(daemon.address().getAddress(), daemon.address().getPort());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(10_000);
            script = new ClientScript(classes, name, most, new CountDownLatch(most));
            next = ClientScript.startupMessage();
        }

        void ask() throws IOException {
            long start = System.nanoTime();
            socket.getOutputStream().write(next);
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            byte[] read = new byte[8192];
            boolean whole;
            do {
                int count = socket.getInputStream().read(read);
                if (count < 0) {
                    throw new IOException("the pooler closed the connection");
                }
                answer.write(read, 0, count);
                byte[] all = answer.toByteArray();
                whole = all.length >= 6 && all[all.length - 6] == 'Z' && all[all.length - 1] == 'I';
            } while (!whole);
            latencies.recordValue((System.nanoTime() - start) / 1000);
            next = script.answer(answer.toByteArray());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private Daemon daemon(NodeConfig from, StubServers stubServers, OperatorConfig.Store store) throws Exception {
        Daemon daemon = new Daemon(
                new NodeConfig(
                        from.name(),
                        "127.0.0.1:0",
                        stubServers.discovery(),
                        from.seed(),
                        from.cores(),
                        from.memoryMb(),
                        from.sockets(),
                        from.known(),
                        from.site(),
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
        NodeConfig from = NodeConfig.read(config, null);
        Map<String, String> places = Scratch.places(List.of("a", "b", "c"));
        try (StubServers stubServers = new StubServers()) {
            daemons.add(daemon(from, stubServers, null));
            for (String name : places.keySet()) {
                daemons.add(daemon(
                        from,
                        stubServers,
                        new OperatorConfig.Store(
                                "cost", name, folder.resolve(name), places.get(name), places, null, 0)));
            }
            Thread.sleep(3000);
            List<RequestClass> classes = from.site().settings().classes();
            try (Asker without = new Asker(daemons.get(0), classes, "w", requests + 2000);
                    Asker with = new Asker(daemons.get(1), classes, "s", requests + 2000)) {
                for (int i = 0; i < requests + 1000; i++) {
                    if (i == 1000) {
                        without.latencies.reset();
                        with.latencies.reset();
                    }
                    without.ask();
                    with.ask();
                }
                out.printf(
                        "{\"requests\":%d,\"off_p50_us\":%d,\"off_p99_us\":%d,\"on_p50_us\":%d,\"on_p99_us\":%d,"
                                + "\"off_served\":%d,\"on_served\":%d}%n",
                        requests,
                        without.latencies.getValueAtPercentile(50),
                        without.latencies.getValueAtPercentile(99),
                        with.latencies.getValueAtPercentile(50),
                        with.latencies.getValueAtPercentile(99),
                        without.script.served(),
                        with.script.served());
            }
            return 0;
        } finally {
            daemons.forEach(Daemon::stop);
            Scratch.delete(folder);
        }
    }
}
