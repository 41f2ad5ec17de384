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
    void answerIsPrintedAndDeterminesExitCode() throws Exception {
        AdminServer adminServer = new AdminServer(new AdminCommands(new AdminCommands.Target() {
            @Override
            public String notReadyReason() {
                return "not serving";
            }

            @Override
            public String counters() {
                return "edge_node.in_flight=3\n";
            }

            @Override
            public void setNodeDrain(boolean drain, String id, Consumer<String> objection) {
                objection.accept(drain && id.equals("s-1") ? null : "nobody has the id " + id);
            }

            @Override
            public void setPoolerDrain(boolean drain, Consumer<String> objection) {
                objection.accept(null);
            }
        }));
        adminServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        try {
            String address = "127.0.0.1:" + adminServer.address().getPort();
            assertAnswer(1, "fail not serving\n", address, "health");
            assertAnswer(0, "ok\nedge_node.in_flight=3\neof\n", address, "counters");
            assertAnswer(0, "ok\n", address, "cordon", "s-1");
            assertAnswer(1, "fail nobody has the id s-1\n", address, "uncordon", "s-1");
        } finally {
            adminServer.close();
        }
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(1, Main.run(new String[] {"call", "--to", "nowhere", "health"}, new PrintStream(err)));
        assertTrue(err.toString().contains("not host:port: nowhere"), err.toString());
    }

    private static void assertAnswer(int code, String answer, String address, String... commandWords) throws Exception {
        PrintStream originalOut = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String[] args = new String[commandWords.length + 3];
        args[0] = "call";
        args[1] = "--to";
        args[2] = address;
        System.arraycopy(commandWords, 0, args, 3, commandWords.length);
        try {
            System.setOut(new PrintStream(out));
            assertEquals(code, Main.run(args, System.err));
        } finally {
            System.setOut(originalOut);
        }
        assertEquals(answer, out.toString());
    }
}
