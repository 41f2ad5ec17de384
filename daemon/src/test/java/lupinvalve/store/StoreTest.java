package lupinvalve.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import lupinvalve.core.Loop;
import lupinvalve.log.Log;
import lupinvalve.net.Net;
import lupinvalve.stories.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Replicas of the store on loopback, one of them cut off, restarted and converged again. */
class StoreTest {
    @TempDir
    Path folder;

    /** One replica as the daemon puts it together. */
    private final class Replica {
        final Loop loop = new Loop();
        final Net net = new Net(loop);
        final Store store;
        final StoreFile file;
        final Replicator replicator;

        Replica(String name, String secret) throws Exception {
            Log.least(Log.Level.ERROR);
            store = new Store(loop, name);
            file = new StoreFile(loop, store, folder.resolve(name));
            file.open();
            replicator = new Replicator(net, loop, store, secret);
            loop.start();
            replicator.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        }

        <T> T on(Supplier<T> work) {
            CompletableFuture<T> result = new CompletableFuture<>();
            loop.post(() -> result.complete(work.get()));
            return result.join();
        }

        void peer(InetSocketAddress address) {
            loop.post(() -> replicator.peer(address));
        }

        long commit(String session) {
            return on(() -> store.lastCommit(session));
        }

        void commit(String session, long position) {
            loop.post(() -> store.committed(session, position));
        }

        String document() {
            byte[] content = on(() -> store.document("operator"));
            return content == null ? null : new String(content);
        }

        void put(long revision, String content) {
            loop.post(() -> store.put("operator", revision, content.getBytes()));
        }

        void stop() {
            on(() -> {
                replicator.stop();
                return 0;
            });
            file.close();
            net.close();
            loop.stop();
        }
    }

    /** A wire between replicas that can be cut: connections stay open and say nothing more. */
    private static final class Cable {
        final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final List<Socket> sockets = new CopyOnWriteArrayList<>();
        volatile boolean cut;

        Cable(InetSocketAddress to) throws Exception {
            World.thread(() -> {
                while (true) {
                    Socket from = server.accept();
                    Socket on = new Socket(to.getAddress(), to.getPort());
                    sockets.addAll(List.of(from, on));
                    World.thread(() -> carry(from.getInputStream(), on.getOutputStream()));
                    World.thread(() -> carry(on.getInputStream(), from.getOutputStream()));
                }
            });
        }

        private void carry(InputStream in, OutputStream out) throws Exception {
            byte[] bytes = new byte[4096];
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                if (!cut) {
                    out.write(bytes, 0, n);
                }
            }
        }

        InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        void mend() throws Exception {
            cut = false;
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @Test
    void values_merge_alike_in_any_order() {
        List<Value> documents = List.of(new Value.Document(1, "a", new byte[] {1}),
                new Value.Document(2, "a", new byte[] {2}), new Value.Document(2, "b", new byte[] {3}));
        List<Value> commits = List.of(new Value.Commit(5), new Value.Commit(9), new Value.Commit(7));
        for (int i = 0; i < 20; i++) {
            List<Value> mixed = new ArrayList<>(documents);
            Collections.shuffle(mixed, new java.util.Random(i));
            assertEquals(documents.get(2), mixed.stream().reduce(Value::merge).orElseThrow());
            mixed = new ArrayList<>(commits);
            Collections.shuffle(mixed, new java.util.Random(i));
            assertEquals(commits.get(1), mixed.stream().reduce(Value::merge).orElseThrow());
        }
    }

    @Test
    void two_replicas_converge_after_one_was_cut_off_and_restarted() throws Exception {
        Replica one = new Replica("one", "soap");
        Replica two = new Replica("two", "soap");
        Cable there = new Cable(two.replicator.address());
        Cable back = new Cable(one.replicator.address());
        one.peer(there.address());
        two.peer(back.address());
        long now = one.loop.now();
        one.commit("k1", now);
        two.put(1, "first");
        World.await("exchanged", () -> two.commit("k1") == now && "first".equals(one.document()));
        there.cut = true;
        back.cut = true;
        // Both go on alone: the later commit and the higher revision hold, whichever side they are on.
        one.commit("k1", now + 1);
        two.commit("k1", now + 5);
        one.commit("k2", now + 2);
        one.put(3, "third");
        two.put(2, "second");
        assertEquals(now + 1, one.commit("k1"));
        two.stop();
        Replica again = new Replica("two", "soap");
        assertEquals(now + 5, again.commit("k1"));
        assertEquals("second", again.document());
        Cable forth = new Cable(again.replicator.address());
        one.peer(forth.address());
        again.peer(back.address());
        back.mend();
        World.await("converged", () -> one.commit("k1") == now + 5 && again.commit("k2") == now + 2
                && "third".equals(again.document()) && "third".equals(one.document()));
        one.stop();
        again.stop();
    }

    @Test
    void a_damaged_file_is_put_aside_and_a_stranger_is_not_heard() throws Exception {
        Replica one = new Replica("one", "soap");
        one.commit("k1", one.loop.now());
        one.stop();
        Path file = folder.resolve("one/store.jsonl");
        byte[] bytes = Files.readAllBytes(file);
        bytes[12] ^= 1;
        Files.write(file, bytes);
        Replica again = new Replica("one", "soap");
        assertEquals(0, again.commit("k1"));
        assertArrayEquals(bytes, Files.readAllBytes(folder.resolve("one/store.damaged")));
        Replica stranger = new Replica("stranger", "other");
        stranger.put(9, "forged");
        stranger.peer(again.replicator.address());
        Replica friend = new Replica("friend", "soap");
        friend.commit("k3", friend.loop.now());
        friend.peer(again.replicator.address());
        World.await("the friend is heard", () -> again.commit("k3") > 0);
        assertNull(again.document());
        assertTrue(again.commit("k1") == 0);
        again.stop();
        stranger.stop();
        friend.stop();
    }
}
