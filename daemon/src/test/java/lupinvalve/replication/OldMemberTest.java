package lupinvalve.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import lupinvalve.config.OperatorConfig;
import lupinvalve.integration.World;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.subscription.WatchRequest;
import lupinvalve.subscription.WatchResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Programs of before subscriptions and of after this one, beside this one. */
class OldMemberTest {
    private static final byte[] DOCUMENT = "{}".getBytes(StandardCharsets.UTF_8);

    @TempDir
    private Path folder;

    /** A member that answers each call as it is told. */
    private static ServerSocket member(
            String name, AtomicInteger calls, java.util.function.Function<WireMessages.Request, byte[]> answers)
            throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(() -> {
            while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                    serve(socket, name, calls, answers);
                } catch (IOException e) {
                    // It has gone, or this one is over.
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    private static void serve(
            Socket socket,
            String name,
            AtomicInteger calls,
            java.util.function.Function<WireMessages.Request, byte[]> answers)
            throws IOException {
        ClusterBootstrap.Announcement word = new ClusterBootstrap.Announcement(
                new MemberId(name, "disk"), ClusterBootstrap.Phase.BOOTSTRAPPED, Set.of(new MemberId(name, "disk")));
        socket.getOutputStream().write(new WireMessages.Hello("plant", name, "127.0.0.1:1", word).write());
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            byte[] message = new byte[in.readInt()];
            in.readFully(message);
            if (WireMessages.kind(message) == WireMessages.Kind.REQUEST) {
                calls.incrementAndGet();
                socket.getOutputStream().write(answers.apply(WireMessages.Request.read(WireMessages.body(message))));
            }
        }
    }

    /** As programs of before subscriptions wrote it: three values. */
    private static byte[] oldAnswer(WireMessages.Request call) {
        return WireMessages.message(
                WireMessages.Kind.RESPONSE,
                new Cbor.Writer()
                        .number(call.id())
                        .number(WireMessages.Status.REJECTED.ordinal())
                        .text("no such call: " + call.name())
                        .toByteArray());
    }

    private static byte[] newAnswer(WireMessages.Request call) {
        ReplicatedState.Document document =
                new ReplicatedState.Document(1, 1, ReplicatedState.digest(DOCUMENT), DOCUMENT);
        byte[] content =
                new WatchResponse(0, 0, "", 1, 20, new WatchResponse.Event.FullDocument(document), Map.of()).write();
        return new WireMessages.Response(call.id(), WireMessages.Status.OK, "", content).write();
    }

    @Test
    void aSubscriberSaysOnceThatAMemberIsTooOldAndFollowsAnother() throws Exception {
        ByteArrayOutputStream lines = new ByteArrayOutputStream();
        AtomicInteger old = new AtomicInteger();
        AtomicInteger current = new AtomicInteger();
        AtomicReference<ReplicatedState.Document> acting = new AtomicReference<>();
        // Other tests' world makes the log quiet as it is set up: not after this one has made it loud.
        World.await("the world is there", () -> true);
        Log.Level before = Log.level();
        try (ServerSocket a = member("a", old, OldMemberTest::oldAnswer);
                ServerSocket b = member("b", current, OldMemberTest::newAnswer)) {
            Log.setOutput(new PrintStream(lines, true));
            Log.setLevel(Log.Level.INFO);
            Map<String, String> members =
                    Map.of("a", "127.0.0.1:" + a.getLocalPort(), "b", "127.0.0.1:" + b.getLocalPort());
            // A name whose first member is the old one.
            String name = java.util.stream.IntStream.range(0, 100)
                    .mapToObj(i -> "s" + i)
                    .filter(one -> new lupinvalve.subscription.MemberSelector(one, members.keySet(), 1)
                            .preferredMember()
                            .equals("a"))
                    .findFirst()
                    .orElseThrow();
            Subscriber subscriber = new Subscriber(
                    OperatorConfig.Store.subscriber("plant", name, folder, members, null, OperatorConfig.Audit.OFF));
            subscriber.start(pooler(acting));
            World.await("follows the other", () -> acting.get() != null && current.get() > 3);
            subscriber.stop();
        } finally {
            Log.setOutput(System.err);
            Log.setLevel(before);
        }
        String said = lines.toString(StandardCharsets.UTF_8);
        assertEquals(1, old.get(), said);
        assertEquals(2, said.split("can't watch the configuration at member a: no such call: follow", -1).length, said);
        assertTrue(said.contains("store: watches the configuration at member b"), said);
    }

    private static ControlPlane.Listener pooler(AtomicReference<ReplicatedState.Document> acting) {
        return new ControlPlane.Listener() {
            @Override
            public String validationError(byte[] document) {
                return null;
            }

            @Override
            public void configurationAccepted(ReplicatedState.Document document) {
                acting.set(document);
            }

            @Override
            public void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> holds) {
                // None are told.
            }

            @Override
            public void commitsAccepted(Command.SessionCommits commits) {
                // Subscribers are told of none.
            }
        };
    }

    @Test
    void aNewerSubscriberIsRefusedWithBothVersions() throws Exception {
        String at;
        try (ServerSocket held = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            at = "127.0.0.1:" + held.getLocalPort();
        }
        Map<String, String> members = Map.of("a", at);
        RaftMember group = new RaftMember(new OperatorConfig.Store("plant", "a", folder, at, members, null, 0));
        try {
            group.start(pooler(new AtomicReference<>()));
            World.await("led", group::isLeader);
            byte[] newer = new WatchRequest(WatchRequest.VERSION + 1, 0, 0, "", "", false, false, "").write();
            GroupClient.Result said =
                    new GroupClient("plant", members, null).call("follow", List.of(newer), false, 5_000);
            assertEquals(
                    new GroupClient.Result(
                            WireMessages.Status.REJECTED, "version 2 of following is asked for; this member speaks 1"),
                    said);
        } finally {
            group.stop();
        }
    }
}
