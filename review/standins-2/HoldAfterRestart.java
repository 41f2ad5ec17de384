import java.util.ArrayList;
import java.util.List;

/** A db node has been held, released and held again; then one of three poolers is restarted. */
final class HoldAfterRestart {
    public static void main(String[] args) throws Exception {
        Kit.main(args[0], HoldAfterRestart::run);
    }

    private static boolean run() throws Exception {
        // Some 30,000 bookings.
        Kit.recordsStatements = false;
        Kit.Ledger ledger = new Kit.Ledger();
        List<Kit.PgNode> nodes = List.of(
                new Kit.PgNode("n1", ledger, true, 0),
                new Kit.PgNode("n2", ledger, false, 10),
                new Kit.PgNode("n3", ledger, false, 10));
        Kit.PgNode held = nodes.get(1);
        Kit.Discovery discovery = new Kit.Discovery(nodes);
        Group group = new Group(discovery.port, "");
        int writeSeconds = Integer.getInteger("seconds", 15);
        group.store("c", "hold", "node", "n2", "--why", "kernel");
        Kit.sleep(1000);
        group.store("c", "release", "node", "n2");
        // Bookings of many sessions.
        long end = System.currentTimeMillis() + writeSeconds * 1000L;
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int writer = i;
            writers.add(Kit.start(() -> write(group.ports.get(Group.NAMES.get(writer % 3)), writer, end)));
        }
        for (Thread writer : writers) {
            writer.join();
        }
        Kit.note("bookings: %d", nodes.get(0).arrivals.size());
        group.store("c", "hold", "node", "n2", "--why", "disk");
        // What the hold was committed with is on all disks by now.
        Kit.sleep(12_000);
        long before = held.arrivals.size();
        if (Kit.TROUBLE) {
            group.processes.get("a").destroy();
            group.processes.get("a").waitFor();
            Kit.note("a has ended after SIGTERM");
            group.start("a");
        }
        long restarted = System.currentTimeMillis();
        List<Thread> readers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            readers.add(Kit.start(() -> read(group.ports.get("a"), restarted + 5000)));
        }
        for (Thread reader : readers) {
            reader.join();
        }
        group.store("c", "holds");
        long late = held.arrivals.size() - before;
        Kit.note("n1 %d n2 %d n3 %d statements in all; n2 got %d since the restart", nodes.get(0).arrivals.size(),
                held.arrivals.size(), nodes.get(2).arrivals.size(), late);
        held.arrivals.stream().filter(a -> a.atMillis() >= restarted).forEach(a -> Kit.detail("late: %d ms after the restart: %s", a.atMillis() - restarted, a.sql()));
        group.recordLogs("store:", "listens", "db node n2", "endpoint list");
        return late == 0;
    }

    private static void write(int port, int writer, long end) {
        try (Kit.PgClient client = new Kit.PgClient(port)) {
            for (int i = 0; System.currentTimeMillis() < end; i++) {
                client.query("INSERT INTO rows (handle, blob) VALUES ('s" + writer + "-" + i + "', 'v') RETURNING blob /* id="
                        + Kit.newId() + ",c=pickup-booking,t=almaty-branch,d=2000,cluster=1 */");
                Kit.sleep(2);
            }
        } catch (java.io.IOException e) {
            Kit.note("writer: %s", e);
        }
    }

    private static void read(int port, long end) {
        while (System.currentTimeMillis() < end) {
            try (Kit.PgClient client = new Kit.PgClient(port)) {
                while (System.currentTimeMillis() < end) {
                    client.query("SELECT blob FROM rows WHERE handle = 'k' /* id=" + Kit.newId()
                            + ",c=bag-status,t=almaty-branch,d=2000,cluster=1 */");
                    Kit.sleep(5);
                }
            } catch (java.io.IOException e) {
                Kit.sleep(5);
            }
        }
    }
}
