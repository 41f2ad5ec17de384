package lupinvalve.wire;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** Command line entry: {@code wirehost} hosts routers on standard input and output. */
public final class Main {
    private Main() {}

    /** @param args {@code wirehost} */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: lupinvalve wirehost");
            System.exit(2);
        }
        try {
            new Host().run(new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                    new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16));
        } catch (WireException | IOException e) {
            System.err.println("lupinvalve: " + String.valueOf(e.getMessage()).replace('\n', ' '));
            System.exit(1);
        }
    }
}
