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

/** Discovery for one pooler: serves the list of db nodes over HTTP, with a watch that sends changed entries. */
final class NodeList implements Closeable {
    private static final long KEEPALIVE_INTERVAL_MILLIS = 500;

    /** Notified of how discovery handles the pooler's calls, on discovery's threads; times are in Unix milliseconds. */
    interface Listener {
        /** Discovery is about to write that these db nodes drain, on a call that its caller has not closed. */
        void answered(List<String> draining, long at);

        /** A watch was answered. */
        void watchAnswered();

        /** Logs what happened to a call or to the list. */
        void log(String line);
    }

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<DiscoveryCall> watches = new CopyOnWriteArrayList<>();
    private final List<DbNodes.DbNode> nodes;
    private final Map<String, String> addresses;
    private final List<String> zones;
    private final Listener listener;
    private final CallQueue queue;
    private final String pooler;
    private final List<DiscoveryCall> silentWatches = new CopyOnWriteArrayList<>();
    private int revision = 1;
    private int calls;
    private final Set<String> draining = new TreeSet<>();

    /**
     * Starts to answer calls.
     *
     * @param addresses addresses of the db nodes through which this pooler reaches them, by id
     * @param queue determines the outcome of the calls of all poolers
     */
    NodeList(
            String pooler,
            List<DbNodes.DbNode> nodes,
            Map<String, String> addresses,
            List<String> zones,
            CallQueue queue,
            Listener listener)
            throws IOException {
        this.pooler = pooler;
        this.queue = queue;
        this.nodes = nodes;
        this.addresses = addresses;
        this.zones = zones;
        this.listener = listener;
        Threads.start("discovery", () -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                Threads.start("discovery", () -> answer(socket));
            }
        });
        Threads.start("discovery", () -> {
            while (!server.isClosed()) {
                Thread.sleep(KEEPALIVE_INTERVAL_MILLIS);
                sendKeepAlives();
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

    /** The entries of the list, for the pooler's file, from which it starts before discovery answers. */
    String entries() {
        return nodes.stream().map(this::entry).collect(Collectors.joining(","));
    }

    private void answer(Socket socket) throws IOException, InterruptedException {
        DiscoveryCall call = new DiscoveryCall(socket);
        String name = logBegin(call);
        long now = System.currentTimeMillis();
        CallQueue.Outcome outcome = queue.outcome(pooler, now);
        if (outcome.at() > now) {
            Thread.sleep(outcome.at() - now);
        }
        switch (outcome.ending()) {
            case ANSWERED -> answerWhole(call, name);
            case REFUSED -> {
                listener.log(name + " was refused");
                call.refuse();
            }
            case RESET -> {
                listener.log(name + " was reset");
                call.reset();
            }
            case TORN -> answerHalf(call, name);
        }
    }

    /** Writes half of the list and resets the connection. */
    private synchronized void answerHalf(DiscoveryCall call, String name) throws IOException {
        listener.log(name + " was reset within its answer");
        String list = list();
        call.begin();
        call.chunk(list.substring(0, list.length() / 2));
        call.reset();
    }

    private String list() {
        return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + entries() + "]}\n";
    }

    private synchronized String logBegin(DiscoveryCall call) {
        String name = (call.isWatch ? "watch " : "call ") + ++calls;
        listener.log(name + " began");
        return name;
    }

    /** Answers with the whole current list, unless the caller has closed the connection. */
    private synchronized void answerWhole(DiscoveryCall call, String name) throws IOException {
        if (call.isClosedByCaller()) {
            listener.log(name + " had been given up");
            call.close();
            return;
        }
        listener.answered(List.copyOf(draining), System.currentTimeMillis());
        call.begin();
        call.chunk(list());
        listener.log(name + " was answered, revision " + revision + ", draining " + draining);
        if (call.isWatch) {
            watches.add(call);
            listener.watchAnswered();
        } else {
            call.end();
        }
    }

    /** Lists a db node as draining, or no longer. */
    synchronized void setDraining(DbNodes.DbNode node, boolean isDraining) {
        if (isDraining) {
            draining.add(node.id);
        } else {
            draining.remove(node.id);
        }
        entryChanged(node);
    }

    /** Resets all open watches. */
    synchronized void resetWatches() throws IOException {
        listener.log(watches.size() + " watches are reset");
        for (DiscoveryCall call : watches) {
            call.reset();
        }
        watches.clear();
    }

    /** Leaves all open watches open and writes nothing more to them; returns whether there was any. */
    synchronized boolean silenceWatches() {
        boolean any = !watches.isEmpty();
        silentWatches.addAll(watches);
        watches.clear();
        return any;
    }

    /** Sends a db node's entry to all watches after it changed, as by a restart of the db node. */
    synchronized void entryChanged(DbNodes.DbNode node) {
        revision++;
        List<String> drainingNow = draining.contains(node.id) ? List.of(node.id) : List.of();
        for (DiscoveryCall call : watches) {
            if (call.isClosedByCaller()) {
                watches.remove(call);
                continue;
            }
            listener.answered(drainingNow, System.currentTimeMillis());
            pushOrDrop(call, "{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + entry(node) + "]}\n");
        }
        listener.log("revision " + revision + " was written to " + watches.size() + " watches, draining " + draining);
    }

    private synchronized void sendKeepAlives() {
        for (DiscoveryCall call : watches) {
            pushOrDrop(call, "\n");
        }
    }

    private void pushOrDrop(DiscoveryCall call, String line) {
        try {
            call.chunk(line);
        } catch (IOException e) {
            watches.remove(call);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        List<DiscoveryCall> open = new ArrayList<>(watches);
        open.addAll(silentWatches);
        for (DiscoveryCall call : open) {
            call.close();
        }
    }
}
