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

/** Subscribers of three members over real sockets; many subscribers share one event loop. */
class SubscriberTest {
    private static final List<String> NAMES = List.of("a", "b", "c");
    private static final int SUBSCRIBERS_COUNT = 40;

    @TempDir
    private Path folder;

    private final Map<String, String> addresses = new TreeMap<>();
    private final Map<String, RaftMember> members = new HashMap<>();
    private final List<ControlPlane> subscribers = new ArrayList<>();
    private final Map<String, ReplicatedState.Document> appliedDocuments = new ConcurrentHashMap<>();
    private final Map<String, Map<Command.DrainTarget, ReplicatedState.Drain>> holds = new ConcurrentHashMap<>();
    private final EventLoop loop = new EventLoop("subscribers");
    private final Net net = new Net(loop);

    @AfterEach
    void stopAll() {
        subscribers.forEach(ControlPlane::stop);
        members.values().forEach(RaftMember::stop);
        net.close();
        loop.stop();
    }

    private ControlPlane.Listener listener(String name) {
        return new ControlPlane.Listener() {
            @Override
            public String validationError(byte[] document) {
                return OperatorConfig.validationError(document).orElse(null);
            }

            @Override
            public void configurationAccepted(ReplicatedState.Document document) {
                appliedDocuments.put(name, document);
            }

            @Override
            public void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> now) {
                holds.put(name, now);
            }

            @Override
            public void commitsAccepted(Command.SessionCommits commits) {
                // Not used by these tests.
            }
        };
    }

    private void startMembers(OperatorConfig.Audit audit) throws IOException {
        List<ServerSocket> reserved = new ArrayList<>();
        for (String name : NAMES) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            reserved.add(socket);
            addresses.put(name, "127.0.0.1:" + socket.getLocalPort());
        }
        for (ServerSocket socket : reserved) {
            socket.close();
        }
        for (String name : NAMES) {
            startMember(name, audit);
        }
        loop.start();
    }

    private void startMember(String name, OperatorConfig.Audit audit) throws IOException {
        RaftMember member = new RaftMember(new OperatorConfig.Store(
                "plant", name, folder.resolve(name), addresses.get(name), addresses, null, 0, audit));
        members.put(name, member);
        member.start(listener(name));
    }

    private Subscriber subscriber(String name, OperatorConfig.Audit audit) throws IOException {
        Subscriber subscriber = new Subscriber(
                OperatorConfig.Store.subscriber("plant", name, folder.resolve(name), addresses, null, audit),
                loop,
                net,
                new lupinvalve.replication.FolderDisk(folder.resolve(name), true),
                name.hashCode());
        subscribers.add(subscriber);
        subscriber.start(listener(name));
        return subscriber;
    }

    private GroupClient.Result call(String command, String... words) {
        List<byte[]> arguments = new ArrayList<>();
        for (String word : words) {
            arguments.add(word.getBytes(StandardCharsets.UTF_8));
        }
        try {
            return new GroupClient("plant", addresses, null).call(command, arguments, false, 20_000);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void put(int revision, String user, String... moreArguments) {
        List<String> arguments =
                new ArrayList<>(List.of(Integer.toString(revision), "{\"mysql\":{\"user\":\"" + user + "\"}}"));
        arguments.addAll(List.of(moreArguments));
        GroupClient.Result result = call("put", arguments.toArray(new String[0]));
        assertEquals(WireMessages.Status.OK, result.status(), result.text());
    }

    private boolean allAt(List<Subscriber> all, long revision) {
        return all.stream().allMatch(subscriber -> subscriber.appliedRevision() == revision && subscriber.mayServe());
    }

    private List<Subscriber> startSubscribers(OperatorConfig.Audit audit) {
        return IntStream.range(0, SUBSCRIBERS_COUNT)
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
    void subscribersReceiveDeltasAndStrictChangeWaitsForThem() throws Exception {
        startMembers(OperatorConfig.Audit.FENCE);
        World.await("elected", () -> members.values().stream().anyMatch(RaftMember::isLeader));
        put(0, "one-of-a-name-that-is-as-long-as-a-difference");
        List<Subscriber> all = startSubscribers(OperatorConfig.Audit.FENCE);
        World.await("all are at the revision with a lease", () -> allAt(all, 1));
        put(1, "two-of-a-name-that-is-as-long-as-a-difference", "strict");
        assertTrue(
                all.stream().allMatch(subscriber -> subscriber.appliedRevision() == 2 || !subscriber.mayServe()),
                "no lease on the previous revision when a strict change is acknowledged");
        World.await("all apply the revision", () -> allAt(all, 2));
        assertEquals(
                0,
                all.stream()
                        .filter(subscriber -> subscriber.traffic().deltas() == 0)
                        .count());
        GroupClient.Result result = call("hold", "node", "db-7", "disk", "strict");
        assertEquals(WireMessages.Status.OK, result.status(), result.text());
        World.await(
                "drain applied",
                () -> all.stream().allMatch(subscriber -> subscriber.mayServe())
                        && holds.get("s7").size() == 1);

        // Stops the leader: its subscribers fail over to other members before their leases expire, or soon after.
        String leader = members.entrySet().stream()
                .filter(entry -> entry.getValue().isLeader())
                .findFirst()
                .orElseThrow()
                .getKey();
        members.remove(leader).stop();
        World.await("elected again", () -> members.values().stream().anyMatch(RaftMember::isLeader));
        put(2, "three");
        World.await("all apply the next revision", () -> allAt(all, 3));

        // Members without a majority grant no leases.
        members.remove(members.keySet().iterator().next()).stop();
        World.await("fenced", () -> all.stream().noneMatch(Subscriber::mayServe));
        assertTrue(all.stream().allMatch(subscriber -> subscriber.appliedRevision() == 3));
    }

    @Test
    void subscriberLeavesMemberThatGrantsNoLeases() throws Exception {
        startMembers(OperatorConfig.Audit.FENCE);
        World.await("elected", () -> members.values().stream().anyMatch(RaftMember::isLeader));
        put(0, "one");
        String memberWithoutLeases = members.keySet().stream()
                .filter(name -> !members.get(name).isLeader())
                .findFirst()
                .orElseThrow();
        members.remove(memberWithoutLeases).stop();
        startMember(memberWithoutLeases, OperatorConfig.Audit.OFF);
        String name = IntStream.range(0, 100)
                .mapToObj(i -> "s" + i)
                .filter(candidate -> new MemberSelector(candidate, NAMES, 1)
                        .preferredMember()
                        .equals(memberWithoutLeases))
                .findFirst()
                .orElseThrow();
        World.await(
                "the restarted member has the document",
                () -> appliedDocuments.containsKey(memberWithoutLeases)
                        && members.values().stream().anyMatch(RaftMember::isLeader));
        Subscriber subscriber = subscriber(name, OperatorConfig.Audit.FENCE);
        World.await("document applied", () -> subscriber.appliedRevision() == 1);
        World.await("lease from another member", subscriber::mayServe);
        assertTrue(subscriber.traffic().failovers() > 0);
    }

    @Test
    void restartedSubscriberAppliesCacheWithoutMembers() throws Exception {
        startMembers(OperatorConfig.Audit.OFF);
        World.await("elected", () -> members.values().stream().anyMatch(RaftMember::isLeader));
        put(0, "one");
        Subscriber serves = subscriber("serves", OperatorConfig.Audit.OFF);
        Subscriber fences = subscriber("fences", OperatorConfig.Audit.FENCE);
        World.await("document applied", () -> serves.appliedRevision() == 1 && fences.appliedRevision() == 1);
        assertTrue(serves.mayServe() && !fences.mayServe(), "members without audit must grant no lease");
        call("hold", "node", "db-7", "disk");
        World.await(
                "drain applied", () -> holds.getOrDefault("serves", Map.of()).size() == 1);
        serves.stop();
        members.values().forEach(RaftMember::stop);
        members.clear();
        appliedDocuments.clear();
        holds.clear();
        Subscriber restarted = subscriber("serves", OperatorConfig.Audit.OFF);
        World.await(
                "applies its cached state",
                () -> restarted.appliedRevision() == 1
                        && holds.getOrDefault("serves", Map.of()).size() == 1);
        restarted.stop();
        byte[] cached = Files.readAllBytes(folder.resolve("serves/followed"));
        cached[cached.length / 2] ^= 4;
        Files.write(folder.resolve("serves/followed"), cached);
        Subscriber damaged = subscriber("serves", OperatorConfig.Audit.OFF);
        assertEquals(null, damaged.initialState().document(), "a corrupt cache is discarded");
    }
}
