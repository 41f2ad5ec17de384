package lupinvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import lupinvalve.config.NodeConfig;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.core.EndpointDiscovery;
import lupinvalve.core.EventLoop;
import lupinvalve.core.Pooler;
import lupinvalve.core.Statement;
import lupinvalve.pg.PgBackend;
import lupinvalve.pg.PgFront;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.RouterSettings;
import lupinvalve.warmup.NodeScript;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** All poolers fill a db node's table together, so what one keeps there for its peaks must be little. */
class SurplusTest {
    private static final long IDLE = 20_000_000;
    private final EventLoop loop = new EventLoop();
    private PgBackend pool;

    private void open(int routers) throws Exception {
        RouterSettings s =
                NodeConfig.read(Path.of("example/config.json"), null).site().settings();
        Pooler pooler = new Pooler(
                loop,
                new RouterSettings(
                        0, routers, 0, s.mustSubscribe(), s.classes(), s.limits(), s.rules(), s.replication()));
        pooler.discovery(new EndpointDiscovery() {
            @Override
            public void subscribe(boolean active) {
                // The list is given below.
            }

            @Override
            public void fetch() {
                // Likewise.
            }
        });
        InMemoryDialer net = new InMemoryDialer(loop, address -> new NodeScript(true));
        pool = new PgBackend(net, pooler, new Pool.Bounds(50, 250_000, IDLE, 250_000), "api", "ledger");
        pooler.addBackend(PgFront.PROTOCOL, pool);
        loop.start();
        loop.post(() -> {
            pooler.start(
                    1,
                    List.of(new DiscoveredEndpoint(
                            new Endpoint("n", 1, 0, EndpointState.LIVE, true, 0),
                            Map.of(PgFront.PROTOCOL, "127.0.0.1:1"))));
            for (int i = 0; i < 4; i++) {
                pool.send(
                        100 + i,
                        "n",
                        "127.0.0.1:1",
                        new Statement("SELECT 1".getBytes(StandardCharsets.UTF_8)),
                        1_000_000,
                        1_000_000);
            }
        });
    }

    private <T> T onCore(Supplier<T> asked) throws Exception {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.post(() -> answer.complete(asked.get()));
        return answer.get(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    @Test
    void oneOfManyPoolersKeepsOneRestingConnection() throws Exception {
        open(14);
        assertEquals(4, onCore(pool::open));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (onCore(pool::open) > 1 && System.nanoTime() < end) {
            Thread.sleep(20);
        }
        assertEquals(1, onCore(pool::open));
        Thread.sleep(200);
        assertEquals(1, onCore(pool::open), "the one used last stays for its whole time");
    }

    @Test
    void whileAnotherProcessRunsEachKeepsHalf() throws Exception {
        open(1);
        assertEquals(4, onCore(pool::open));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        loop.post(() -> {
            for (int i = 0; i < 40; i++) {
                pool.send(
                        200 + i,
                        "n",
                        "127.0.0.1:1",
                        new Statement("SELECT 1".getBytes(StandardCharsets.UTF_8)),
                        1_000_000,
                        1_000_000);
            }
            pool.setOtherProcessRunning(true);
        });
        while (onCore(pool::open) > 25 && System.nanoTime() < end) {
            loop.post(() -> pool.setOtherProcessRunning(true));
            Thread.sleep(20);
        }
        assertEquals(25, onCore(pool::open));
        loop.post(() -> {
            pool.setOtherProcessRunning(false);
            for (int i = 0; i < 40; i++) {
                pool.send(
                        300 + i,
                        "n",
                        "127.0.0.1:1",
                        new Statement("SELECT 1".getBytes(StandardCharsets.UTF_8)),
                        1_000_000,
                        1_000_000);
            }
        });
        assertTrue(onCore(pool::open) > 25, "alone it may use them all");
    }

    @Test
    void aPoolerThatIsAloneKeepsThemAll() throws Exception {
        open(1);
        Thread.sleep(2_500);
        assertTrue(onCore(pool::open) == 4, "twenty seconds have not passed");
    }
}
