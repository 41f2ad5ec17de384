import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Slow clients send many commands at once, for values of 60,000 bytes; a usual client asks as ever. */
final class Unread {
    private static final int CLIENTS = 120;
    /** Commands that each slow client sends at once at the most. */
    private static final int AT_ONCE = 62;
    private static final int VALUE_BYTES = 60_000;
    /** The pause between two slow clients' commands. */
    private static final int PAUSE_MILLIS = 60;
    /** A slow client takes so much ten times a second. */
    private static final int READ_BYTES = 2_000;

    private static final int DEADLINE_MILLIS = 1200;
    /** Up to half a second after its time an answer only earns nothing; every limit is 50 ms longer. */
    private static final int LATEST_MILLIS = DEADLINE_MILLIS + 550;

    /** A pooler that nobody can connect to for so long hangs: STANDING.md's limit for a pooler to be ready. */
    private static final int HANG_MILLIS = 30_000;

    private static final AtomicInteger LAST_ID = new AtomicInteger();

    private static String statement() {
        return "SELECT blob FROM rows WHERE handle = 'k' /* id=" + String.format("%016x", LAST_ID.incrementAndGet())
                + ",c=own-order-view,t=almaty-branch,d=" + DEADLINE_MILLIS + ",cluster=1 */";
    }

    private static void sendAtOnce(Lab.PgClient client, int count) throws IOException {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        for (int i = 0; i < count; i++) {
            Lab.message(commands, 'Q', Lab.text(statement()));
        }
        client.out.write(commands.toByteArray());
    }

    private static void read(Lab.PgClient client) {
        byte[] some = new byte[Lab.TROUBLE ? READ_BYTES : 64 << 10];
        try {
            while (client.in.read(some) >= 0) {
                if (Lab.TROUBLE) {
                    Lab.sleep(100);
                }
            }
        } catch (IOException e) {
            // Ended.
        }
    }

    /** All these clients, one after another: first some commands, then as many at once as the pooler lets wait. */
    private static void slowClients(int port) {
        List<Lab.PgClient> clients = new ArrayList<>();
        int ended = 0;
        for (int i = 0; i < 2 * CLIENTS; i++) {
            int number = i % CLIENTS;
            try {
                if (i < CLIENTS) {
                    Lab.PgClient client = new Lab.PgClient(port, Lab.TROUBLE ? 4096 : 0);
                    client.socket.setSoTimeout(0);
                    clients.add(client);
                    Lab.daemon(() -> read(client));
                }
                // How much the system's buffers take differs, so clients begin with 1 to 60 values.
                sendAtOnce(clients.get(number), i < CLIENTS ? 1 + number % 60 : AT_ONCE);
            } catch (IOException | IndexOutOfBoundsException e) {
                ended++;
            }
            if (i == CLIENTS - 1) {
                Lab.log("%d clients have sent their first commands", CLIENTS);
            }
            Lab.sleep(PAUSE_MILLIS);
        }
        Lab.log("the clients have sent all; %d times a connection was refused or had ended", ended);
    }

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        List<Lab.PgNode> nodes = new ArrayList<>();
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < 5; i++) {
            Lab.PgNode node = new Lab.PgNode("db-" + i, i == 0, new byte[VALUE_BYTES], 5);
            nodes.add(node);
            members.append(i == 0 ? "" : ",").append(Lab.member(node.name, node.port, null, i == 0 ? "source" : "copy"));
        }
        int discovery = Lab.discovery(members.toString());
        int port = Lab.freePort();
        Process pooler = Lab.pooler("n0", Lab.config("n0", port, discovery, 192), null);
        if (!Lab.ready(port, 30_000)) {
            Lab.quoteLog("n0", ".", 30);
            Lab.cannotRun("the pooler is not ready");
        }
        // Without the disruption the same clients ask for the same and read what they get at once.
        Lab.daemon(() -> slowClients(port));
        int asked = 0;
        int answered = 0;
        List<String> lost = new ArrayList<>();
        long unreachableSince = -1;
        boolean hangs = false;
        long end = Lab.millis() + 40_000;
        while ((Lab.millis() < end || unreachableSince >= 0) && lost.size() < 3 && !hangs && pooler.isAlive()) {
            Lab.sleep(50);
            Lab.PgClient usual;
            try {
                usual = new Lab.PgClient(port, 0);
                unreachableSince = -1;
            } catch (IOException e) {
                if (unreachableSince < 0) {
                    unreachableSince = Lab.millis();
                    Lab.log("usual client: no connection from now on: %s", e);
                }
                hangs = Lab.millis() - unreachableSince >= HANG_MILLIS;
                continue;
            }
            long at = Lab.millis();
            try (usual) {
                usual.socket.setSoTimeout(6000);
                asked++;
                usual.send(statement());
                String answer = usual.answer();
                long took = Lab.millis() - at;
                answered++;
                if (took > LATEST_MILLIS) {
                    lost.add("request " + asked + " answered (" + answer + ") after " + took + " ms");
                    Lab.log("usual client: %s", lost.get(lost.size() - 1));
                } else if (asked % 40 == 1) {
                    Lab.log("usual client: request %d %s after %d ms", asked, answer, took);
                }
            } catch (SocketTimeoutException e) {
                lost.add("request " + asked + " had no answer after " + (Lab.millis() - at) + " ms");
                Lab.log("usual client: %s", lost.get(lost.size() - 1));
            } catch (IOException e) {
                lost.add("request " + asked + " ended without an answer after " + (Lab.millis() - at) + " ms: " + e);
                Lab.log("usual client: %s", lost.get(lost.size() - 1));
            }
        }
        boolean ended = pooler.waitFor(3, TimeUnit.SECONDS);
        Lab.log("usual requests asked %d, answered %d; the pooler %s", asked, answered,
                ended ? "has ended with exit code " + pooler.exitValue() : "still runs");
        nodes.forEach(node -> Lab.log("statements at %s: %d", node.name, node.got.size()));
        Lab.quoteLog("n0", "WARN|ERROR|OutOfMemory|ended|shutting|stopped", 30);
        Lab.verdict(ended || hangs || !lost.isEmpty(), "the pooler %s; %d of %d usual requests lost%s",
                ended ? "ended by itself, exit code " + pooler.exitValue()
                        : hangs ? "hangs: it took no connection for " + HANG_MILLIS + " ms and did not end" : "serves",
                lost.size(), asked,
                lost.isEmpty() ? "" : ", the first: " + lost.get(0));
    }
}
