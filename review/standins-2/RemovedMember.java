import java.io.IOException;
import java.util.List;

/** Not a case of its own: a member is removed from the group, and a db node is held strictly right after that. */
final class RemovedMember {
    public static void main(String[] args) throws Exception {
        Kit.main(args[0], RemovedMember::run);
    }

    private static boolean run() throws Exception {
        Kit.Ledger ledger = new Kit.Ledger();
        List<Kit.PgNode> nodes = List.of(
                new Kit.PgNode("n1", ledger, true, 0),
                new Kit.PgNode("n2", ledger, false, 10),
                new Kit.PgNode("n3", ledger, false, 10));
        Kit.PgNode held = nodes.get(1);
        Kit.Discovery discovery = new Kit.Discovery(nodes);
        Group group = new Group(discovery.port, ", \"audit\": \"fence\"");
        Kit.sleep(6000);
        long end = System.currentTimeMillis() + 14_000;
        for (int i = 0; i < 4; i++) {
            Kit.start(() -> read(group.ports.get("c"), end));
        }
        if (Kit.TROUBLE) {
            group.store("a", "remove", "c");
        }
        group.store("a", "hold", "node", "n2", "--strict", "--why", "kernel");
        long done = System.currentTimeMillis();
        Kit.sleep(6000);
        // The settings' 250 ms, and 50 ms more on sockets.
        long late = held.arrivals.stream().filter(a -> a.atMillis() > done + 300).count();
        long last = held.arrivals.stream().mapToLong(Kit.Arrival::atMillis).max().orElse(0) - done;
        Kit.note("n2 got %d statements later than 300 ms after the strict call was done, the last %d ms after it", late, last);
        group.recordLogs("store:", "listens", "db node n2");
        return late == 0;
    }

    private static void read(int port, long end) {
        try (Kit.PgClient client = new Kit.PgClient(port)) {
            for (int i = 0; System.currentTimeMillis() < end; i++) {
                client.query("SELECT blob FROM rows WHERE handle = 'k" + i % 50 + "' /* id=" + Kit.newId()
                        + ",c=bag-status,t=almaty-branch,d=2000,cluster=1 */");
                Kit.sleep(15);
            }
        } catch (IOException e) {
            Kit.note("client: %s", e);
        }
    }
}
