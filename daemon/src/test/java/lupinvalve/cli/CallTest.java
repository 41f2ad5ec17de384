package lupinvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import lupinvalve.admin.AdminCommands;
import lupinvalve.admin.AdminServer;
import org.junit.jupiter.api.Test;

class CallTest {
    @Test
    void itPrintsTheAnswerAndExitsWithIt() throws Exception {
        AdminServer door = new AdminServer(new AdminCommands(new AdminCommands.Target() {
            @Override
            public String notReadyReason() {
                return "not serving";
            }

            @Override
            public String counters() {
                return "edge_node.in_flight=3\n";
            }

            @Override
            public void setNodeDrain(boolean takeOut, String id, Consumer<String> objection) {
                objection.accept(takeOut && id.equals("s-1") ? null : "nobody has the id " + id);
            }

            @Override
            public void setPoolerDrain(boolean quiesce, Consumer<String> objection) {
                objection.accept(null);
            }
        }));
        door.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        try {
            String to = "127.0.0.1:" + door.address().getPort();
            said(1, "fail not serving\n", to, "health");
            said(0, "ok\nedge_node.in_flight=3\neof\n", to, "counters");
            said(0, "ok\n", to, "cordon", "s-1");
            said(1, "fail nobody has the id s-1\n", to, "uncordon", "s-1");
        } finally {
            door.close();
        }
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(1, Main.run(new String[] {"call", "--to", "nowhere", "health"}, new PrintStream(err)));
        assertTrue(err.toString().contains("not host:port: nowhere"), err.toString());
    }

    private static void said(int code, String answer, String to, String... words) throws Exception {
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String[] args = new String[words.length + 3];
        args[0] = "call";
        args[1] = "--to";
        args[2] = to;
        System.arraycopy(words, 0, args, 3, words.length);
        try {
            System.setOut(new PrintStream(out));
            assertEquals(code, Main.run(args, System.err));
        } finally {
            System.setOut(before);
        }
        assertEquals(answer, out.toString());
    }
}
