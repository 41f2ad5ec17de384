package lupinvalve.drills;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** Discovery as one pooler sees it: the list over HTTP, and a watch that tells of each start of a db node. */
final class NodeList implements Closeable {
    private static final long BEAT = 500;

    /** Hears what discovery does with the pooler's calls; times in Unix milliseconds. */
    interface Told {
        /** Discovery now writes that these db nodes drain, on a call that its caller had not given up. */
        void answered(List<String> draining, long at);

        /** A watch is answered. */
        void watched();

        /** What came of a call. */
        void said(String line);
    }

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<DiscoveryCall> watching = new CopyOnWriteArrayList<>();
    private final List<DbNodes.DbNode> nodes;
    private final Map<String, String> addresses;
    private final List<String> zones;
    private final Told told;
    private final CallQueue queue;
    private final String pooler;
    private final List<DiscoveryCall> silent = new CopyOnWriteArrayList<>();
    private int revision = 1;
    private int calls;
    private final Set<String> draining = new TreeSet<>();

    /**
     * Answers from now on.
     *
     * @param addresses of db nodes as this pooler reaches them
     * @param queue of all poolers' calls
     */
    NodeList(
            String pooler,
            List<DbNodes.DbNode> nodes,
            Map<String, String> addresses,
            List<String> zones,
            CallQueue queue,
            Told told)
            throws IOException {
        this.pooler = pooler;
        this.queue = queue;
        this.nodes = nodes;
        this.addresses = addresses;
        this.zones = zones;
        this.told = told;
        Threads.start("discovery", () -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                Threads.start("discovery", () -> answer(socket));
            }
        });
        Threads.start("discovery", () -> {
            while (!server.isClosed()) {
                Thread.sleep(BEAT);
                beat();
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private String entry(DbNodes.DbNode node) {
        return "{\"id\":\"" + node.id + "\",\"host_port\":\"" + addresses.get(node.id) + "\",\"locality\":\""
                + zones.get(node.zone)
                + "\",\"cell\":" + node.group + ",\"phase\":\""
                + (draining.contains(node.id) ? "terminating" : "in_service")
                + "\",\"size\":1.0,\"up_since_ms\":" + node.startedAt() + "}";
    }

    /** The list's entries, for a start before discovery answers. */
    String entries() {
        return nodes.stream().map(this::entry).collect(Collectors.joining(","));
    }

    private void answer(Socket socket) throws IOException, InterruptedException {
        DiscoveryCall call = new DiscoveryCall(socket);
        String name = begun(call);
        long now = System.currentTimeMillis();
        CallQueue.Fate fate = queue.fate(pooler, now);
        if (fate.at() > now) {
            Thread.sleep(fate.at() - now);
        }
        switch (fate.ending()) {
            case ANSWERED -> whole(call, name);
            case REFUSED -> {
                told.said(name + " was refused");
                call.refuse();
            }
            case RESET -> {
                told.said(name + " was reset");
                call.reset();
            }
            case TORN -> torn(call, name);
        }
    }

    /** Half the list, and a reset. */
    private synchronized void torn(DiscoveryCall call, String name) throws IOException {
        told.said(name + " was reset within its answer");
        String list = list();
        call.begin();
        call.chunk(list.substring(0, list.length() / 2));
        call.reset();
    }

    private String list() {
        return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + entries() + "]}\n";
    }

    private synchronized String begun(DiscoveryCall call) {
        String name = (call.follows ? "watch " : "call ") + ++calls;
        told.said(name + " began");
        return name;
    }

    /** Answers with the whole list as it is now, unless the call has been given up. */
    private synchronized void whole(DiscoveryCall call, String name) throws IOException {
        if (call.givenUp()) {
            told.said(name + " had been given up");
            call.close();
            return;
        }
        told.answered(List.copyOf(draining), System.currentTimeMillis());
        call.begin();
        call.chunk(list());
        told.said(name + " was answered, revision " + revision + ", draining " + draining);
        if (call.follows) {
            watching.add(call);
            told.watched();
        } else {
            call.end();
        }
    }

    /** A db node drains, or no longer. */
    synchronized void drains(DbNodes.DbNode node, boolean now) {
        if (now) {
            draining.add(node.id);
        } else {
            draining.remove(node.id);
        }
        started(node);
    }

    /** Ends all open watches with resets. */
    synchronized void breakWatches() throws IOException {
        told.said(watching.size() + " watches are reset");
        for (DiscoveryCall call : watching) {
            call.reset();
        }
        watching.clear();
    }

    /** What is open now stays open and says nothing more; whether there was any. */
    synchronized boolean fallSilent() {
        boolean any = !watching.isEmpty();
        silent.addAll(watching);
        watching.clear();
        return any;
    }

    /** A db node has started again, or its entry has changed otherwise. */
    synchronized void started(DbNodes.DbNode node) {
        revision++;
        List<String> news = draining.contains(node.id) ? List.of(node.id) : List.of();
        for (DiscoveryCall call : watching) {
            if (call.givenUp()) {
                watching.remove(call);
                continue;
            }
            told.answered(news, System.currentTimeMillis());
            push(call, "{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + entry(node) + "]}\n");
        }
        told.said("revision " + revision + " was written to " + watching.size() + " watches, draining " + draining);
    }

    private synchronized void beat() {
        for (DiscoveryCall call : watching) {
            push(call, "\n");
        }
    }

    private void push(DiscoveryCall call, String line) {
        try {
            call.chunk(line);
        } catch (IOException e) {
            watching.remove(call);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        List<DiscoveryCall> open = new ArrayList<>(watching);
        open.addAll(silent);
        for (DiscoveryCall call : open) {
            call.close();
        }
    }
}
