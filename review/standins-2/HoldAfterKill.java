import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A db node is held; a moment later the three poolers are killed, and started again at different times. */
final class HoldAfterKill {
    public static void main(String[] args) throws Exception {
        Kit.main(args[0], HoldAfterKill::run);
    }

    private static boolean run() throws Exception {
        Kit.Ledger ledger = new Kit.Ledger();
        List<Kit.PgNode> nodes = List.of(
                new Kit.PgNode("n1", ledger, true, 0),
                new Kit.PgNode("n2", ledger, false, 10),
                new Kit.PgNode("n3", ledger, false, 10));
        Kit.PgNode held = nodes.get(1);
        Kit.Discovery discovery = new Kit.Discovery(nodes);
        Group group = new Group(discovery.port, "");
        readAtAll(group);
        // The group is at rest: roles are known and told, and the next list of db nodes is due some seconds later.
        Kit.sleep(3000);
        group.store("c", "hold", "node", "n2", "--why", "kernel");
        long yes = System.currentTimeMillis();
        // All three act on it.
        Kit.sleep(700);
        readAtAll(group);
        // The settings' 250 ms, and 50 ms more on sockets.
        long before = held.arrivals.stream().filter(a -> a.atMillis() > yes + 300).count();
        Kit.note("n2 got %d statements from 300 ms after the yes on", before);
        long killed = System.currentTimeMillis();
        if (Kit.TROUBLE) {
            group.kill("c");
            group.kill("b");
            group.kill("a");
            group.start("a");
        }
        int port = group.ports.get("a");
        if (!Kit.awaitReady(port, 10_000)) {
            throw new IllegalStateException("a is not ready again");
        }
        Kit.note("a says yes");
        List<Thread> readers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            readers.add(Kit.start(() -> read(port, 250, 25)));
        }
        Kit.sleep(5000);
        if (Kit.TROUBLE) {
            group.start("b");
            group.start("c");
        }
        for (Thread reader : readers) {
            reader.join();
        }
        group.store("a", "holds");
        long late = held.arrivals.stream().filter(a -> a.atMillis() >= killed).count();
        long last = held.arrivals.stream().mapToLong(Kit.Arrival::atMillis).max().orElse(0) - killed;
        Kit.note("n2 got %d statements since%s", late, late == 0 ? "" : ", the last " + last + " ms after the first kill");
        group.recordLogs("store:", "listens", "db node n2", "endpoint list");
        return before == 0 && late == 0;
    }

    private static void readAtAll(Group group) throws InterruptedException {
        List<Thread> readers = new ArrayList<>();
        for (String name : Group.NAMES) {
            for (int i = 0; i < 3; i++) {
                readers.add(Kit.start(() -> read(group.ports.get(name), 30, 0)));
            }
        }
        for (Thread reader : readers) {
            reader.join();
        }
    }

    private static void read(int port, int times, long pauseMillis) {
        try (Kit.PgClient client = new Kit.PgClient(port)) {
            for (int i = 0; i < times; i++) {
                client.query("SELECT blob FROM rows WHERE handle = 'k" + i % 50 + "' /* id=" + Kit.newId()
                        + ",c=own-order-view,t=almaty-branch,d=1200,cluster=1 */");
                Kit.sleep(pauseMillis);
            }
        } catch (IOException e) {
            Kit.note("client: %s", e);
        }
    }
}
