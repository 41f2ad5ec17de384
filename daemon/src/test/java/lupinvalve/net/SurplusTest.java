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
import lupinvalve.core.SqlDialect;
import lupinvalve.core.Statement;
import lupinvalve.pg.PgBackend;
import lupinvalve.pg.PgFront;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.RouterSettings;
import lupinvalve.warmup.NodeScript;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** All poolers share a db node's connection table, so each may keep only few idle connections there for its peaks. */
class SurplusTest {
    private static final long IDLE_MICROS = 20_000_000;
    private final EventLoop loop = new EventLoop();
    private PgBackend pool;

    private void open(int poolers) throws Exception {
        RouterSettings settings =
                NodeConfig.read(Path.of("example/config.json"), null).site().settings();
        Pooler pooler = new Pooler(
                loop,
                new RouterSettings(
                        0,
                        poolers,
                        0,
                        settings.mustSubscribe(),
                        settings.classes(),
                        settings.limits(),
                        settings.rules(),
                        settings.replication()));
        pooler.discovery(new EndpointDiscovery() {
            @Override
            public void subscribe(boolean active) {
                // The list is set below.
            }

            @Override
            public void fetch() {
                // The list is set below.
            }
        });
        InMemoryDialer dialer = new InMemoryDialer(loop, address -> new NodeScript(true));
        pool = new PgBackend(dialer, pooler, new Pool.Bounds(50, 250_000, IDLE_MICROS, 250_000), "api", "ledger");
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
                        new Statement("SELECT 1".getBytes(StandardCharsets.UTF_8), SqlDialect.POSTGRESQL),
                        1_000_000,
                        1_000_000);
            }
        });
    }

    private <T> T onCore(Supplier<T> query) throws Exception {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.post(() -> answer.complete(query.get()));
        return answer.get(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    @Test
    void oneOfManyPoolersKeepsOneIdleConnection() throws Exception {
        open(14);
        assertEquals(4, onCore(pool::open));
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (onCore(pool::open) > 1 && System.nanoTime() < deadlineNanos) {
            Thread.sleep(20);
        }
        assertEquals(1, onCore(pool::open));
        Thread.sleep(200);
        assertEquals(1, onCore(pool::open), "the one used last stays for its whole time");
    }

    @Test
    void limitIsHalvedWhileAnotherProcessRuns() throws Exception {
        open(1);
        assertEquals(4, onCore(pool::open));
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        loop.post(() -> {
            for (int i = 0; i < 40; i++) {
                pool.send(
                        200 + i,
                        "n",
                        "127.0.0.1:1",
                        new Statement("SELECT 1".getBytes(StandardCharsets.UTF_8), SqlDialect.POSTGRESQL),
                        1_000_000,
                        1_000_000);
            }
            pool.setOtherProcessRunning(true);
        });
        while (onCore(pool::open) > 25 && System.nanoTime() < deadlineNanos) {
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
                        new Statement("SELECT 1".getBytes(StandardCharsets.UTF_8), SqlDialect.POSTGRESQL),
                        1_000_000,
                        1_000_000);
            }
        });
        assertTrue(onCore(pool::open) > 25, "alone it may use them all");
    }

    @Test
    void singlePoolerKeepsAllIdleConnections() throws Exception {
        open(1);
        Thread.sleep(2_500);
        assertTrue(onCore(pool::open) == 4, "twenty seconds have not passed");
    }
}
