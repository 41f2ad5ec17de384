package lupinvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.EventLoop;
import lupinvalve.integration.World;
import lupinvalve.net.Net;
import lupinvalve.replication.ControlPlane;
import lupinvalve.replication.GroupClient;
import lupinvalve.replication.RaftMember;
import lupinvalve.replication.Subscriber;
import lupinvalve.replication.WireMessages;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.subscription.MemberSelector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Poolers that follow three members over real sockets, many on one loop as the laboratory has them. */
class SubscriberTest {
    private static final List<String> NAMES = List.of("a", "b", "c");
    private static final int MANY = 40;

    @TempDir
    private Path folder;

    private final Map<String, String> addresses = new TreeMap<>();
    private final Map<String, RaftMember> groups = new HashMap<>();
    private final List<ControlPlane> subscribers = new ArrayList<>();
    private final Map<String, ReplicatedState.Document> acting = new ConcurrentHashMap<>();
    private final Map<String, Map<Command.DrainTarget, ReplicatedState.Drain>> holds = new ConcurrentHashMap<>();
    private final EventLoop loop = new EventLoop("subscribers");
    private final Net net = new Net(loop);

    @AfterEach
    void end() {
        subscribers.forEach(ControlPlane::stop);
        groups.values().forEach(RaftMember::stop);
        net.close();
        loop.stop();
    }

    private ControlPlane.Listener pooler(String name) {
        return new ControlPlane.Listener() {
            @Override
            public String validationError(byte[] document) {
                return OperatorConfig.validationError(document).orElse(null);
            }

            @Override
            public void configurationAccepted(ReplicatedState.Document document) {
                acting.put(name, document);
            }

            @Override
            public void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> now) {
                holds.put(name, now);
            }

            @Override
            public void commitsAccepted(Command.SessionCommits commits) {
                // Positions are of no matter here.
            }
        };
    }

    private void members(OperatorConfig.Audit audit) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        for (String name : NAMES) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            held.add(socket);
            addresses.put(name, "127.0.0.1:" + socket.getLocalPort());
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        for (String name : NAMES) {
            member(name, audit);
        }
        loop.start();
    }

    private void member(String name, OperatorConfig.Audit audit) throws IOException {
        RaftMember group = new RaftMember(new OperatorConfig.Store(
                "plant", name, folder.resolve(name), addresses.get(name), addresses, null, 0, audit));
        groups.put(name, group);
        group.start(pooler(name));
    }

    private Subscriber subscriber(String name, OperatorConfig.Audit audit) throws IOException {
        Subscriber subscriber = new Subscriber(
                OperatorConfig.Store.subscriber("plant", name, folder.resolve(name), addresses, null, audit),
                loop,
                net,
                new lupinvalve.replication.FolderDisk(folder.resolve(name), true),
                name.hashCode());
        subscribers.add(subscriber);
        subscriber.start(pooler(name));
        return subscriber;
    }

    private GroupClient.Result ask(String call, String... words) {
        List<byte[]> arguments = new ArrayList<>();
        for (String word : words) {
            arguments.add(word.getBytes(StandardCharsets.UTF_8));
        }
        try {
            return new GroupClient("plant", addresses, null).call(call, arguments, false, 20_000);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void put(int revision, String user, String... more) {
        List<String> words =
                new ArrayList<>(List.of(Integer.toString(revision), "{\"mysql\":{\"user\":\"" + user + "\"}}"));
        words.addAll(List.of(more));
        GroupClient.Result said = ask("put", words.toArray(new String[0]));
        assertEquals(WireMessages.Status.OK, said.status(), said.text());
    }

    private boolean allAt(List<Subscriber> all, long revision) {
        return all.stream().allMatch(one -> one.appliedRevision() == revision && one.mayServe());
    }

    private List<Subscriber> many(OperatorConfig.Audit audit) {
        return IntStream.range(0, MANY)
                .mapToObj(i -> {
                    try {
                        return subscriber("s" + i, audit);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                })
                .toList();
    }

    @Test
    void manyFollowEachChangeByDifferencesAndAStrictOneWaitsForThem() throws Exception {
        members(OperatorConfig.Audit.FENCE);
        World.await("led", () -> groups.values().stream().anyMatch(RaftMember::isLeader));
        put(0, "one-of-a-name-that-is-as-long-as-a-difference");
        List<Subscriber> all = many(OperatorConfig.Audit.FENCE);
        World.await("all follow with a lease", () -> allAt(all, 1));
        put(1, "two-of-a-name-that-is-as-long-as-a-difference", "strict");
        assertTrue(
                all.stream().allMatch(one -> one.appliedRevision() == 2 || !one.mayServe()),
                "by the time of a strict answer");
        World.await("all act on it", () -> allAt(all, 2));
        assertEquals(0, all.stream().filter(one -> one.traffic().deltas() == 0).count());
        GroupClient.Result held = ask("hold", "node", "db-7", "disk", "strict");
        assertEquals(WireMessages.Status.OK, held.status(), held.text());
        World.await(
                "held",
                () -> all.stream().allMatch(one -> one.mayServe())
                        && holds.get("s7").size() == 1);

        // The member that leads goes: those that followed it come to others before their leases end, or soon after.
        String leader = groups.entrySet().stream()
                .filter(one -> one.getValue().isLeader())
                .findFirst()
                .orElseThrow()
                .getKey();
        groups.remove(leader).stop();
        World.await("led anew", () -> groups.values().stream().anyMatch(RaftMember::isLeader));
        put(2, "three");
        World.await("all act on the next", () -> allAt(all, 3));

        // Nobody of a group without a majority grants anything.
        groups.remove(groups.keySet().iterator().next()).stop();
        World.await("fenced", () -> all.stream().noneMatch(Subscriber::mayServe));
        assertTrue(all.stream().allMatch(one -> one.appliedRevision() == 3));
    }

    @Test
    void aMemberWithoutLeasesIsLeftForOneThatGrantsThem() throws Exception {
        members(OperatorConfig.Audit.FENCE);
        World.await("led", () -> groups.values().stream().anyMatch(RaftMember::isLeader));
        put(0, "one");
        String without = groups.keySet().stream()
                .filter(name -> !groups.get(name).isLeader())
                .findFirst()
                .orElseThrow();
        groups.remove(without).stop();
        member(without, OperatorConfig.Audit.OFF);
        String name = IntStream.range(0, 100)
                .mapToObj(i -> "s" + i)
                .filter(one ->
                        new MemberSelector(one, NAMES, 1).preferredMember().equals(without))
                .findFirst()
                .orElseThrow();
        World.await(
                "it takes part",
                () -> acting.containsKey(without) && groups.values().stream().anyMatch(RaftMember::isLeader));
        Subscriber subscriber = subscriber(name, OperatorConfig.Audit.FENCE);
        World.await("adopted", () -> subscriber.appliedRevision() == 1);
        World.await("let act by another", subscriber::mayServe);
        assertTrue(subscriber.traffic().failovers() > 0);
    }

    @Test
    void aRestartActsOnWhatItKeptAndOneThatServesGoesOnWithoutMembers() throws Exception {
        members(OperatorConfig.Audit.OFF);
        World.await("led", () -> groups.values().stream().anyMatch(RaftMember::isLeader));
        put(0, "one");
        Subscriber serves = subscriber("serves", OperatorConfig.Audit.OFF);
        Subscriber fences = subscriber("fences", OperatorConfig.Audit.FENCE);
        World.await("adopted", () -> serves.appliedRevision() == 1 && fences.appliedRevision() == 1);
        assertTrue(serves.mayServe() && !fences.mayServe(), "members without audit grant no lease");
        ask("hold", "node", "db-7", "disk");
        World.await("held", () -> holds.getOrDefault("serves", Map.of()).size() == 1);
        serves.stop();
        groups.values().forEach(RaftMember::stop);
        groups.clear();
        acting.clear();
        holds.clear();
        Subscriber again = subscriber("serves", OperatorConfig.Audit.OFF);
        World.await(
                "acts on what it kept",
                () -> again.appliedRevision() == 1
                        && holds.getOrDefault("serves", Map.of()).size() == 1);
        again.stop();
        byte[] kept = Files.readAllBytes(folder.resolve("serves/followed"));
        kept[kept.length / 2] ^= 4;
        Files.write(folder.resolve("serves/followed"), kept);
        Subscriber damaged = subscriber("serves", OperatorConfig.Audit.OFF);
        assertEquals(null, damaged.initialState().document(), "what is damaged is not believed");
    }
}
