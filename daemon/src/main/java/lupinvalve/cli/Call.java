package lupinvalve.cli;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.net.Addresses;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Calls a running pooler's operators' address and prints the answer; the exit code is 0 where that is ok. */
public final class Call implements Main.Command {
    /** An answer is due within a second. */
    private static final int WAIT_MILLIS = 3_000;

    @Option(name = "--to", metaVar = "ADDRESS", usage = "the operators' address; else NODE_OPERATOR names it")
    private String to = System.getenv("NODE_OPERATOR");

    @Argument(required = true, multiValued = true, metaVar = "CALL", usage = "health, counters, cordon ID, ...")
    private List<String> words = new ArrayList<>();

    @Override
    public int run() throws IOException {
        if (to == null || to.isEmpty()) {
            throw new IllegalArgumentException("no --to and no NODE_OPERATOR");
        }
        return call(Addresses.parse(to), String.join(" ", words), System.out);
    }

    static int call(InetSocketAddress address, String line, PrintStream out) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(WAIT_MILLIS);
            socket.connect(address, WAIT_MILLIS);
            socket.getOutputStream().write((line + "\n").getBytes(US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), US_ASCII);
            out.print(answer);
            return answer.startsWith("ok") ? 0 : 1;
        }
    }
}
