package lupinvalve.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import lupinvalve.routing.Router;

/**
 * Runs routers for the simulator: reads one batch of events per line and writes one line of actions in reply to each.
 * Routers share no state. Not thread-safe.
 */
public final class SimulatorHost {
    private static final int BUFFER_BYTES = 1 << 16;

    private final Map<Integer, Router> routers = new HashMap<>();
    private final BatchReader reader = new BatchReader();

    /**
     * Runs until the input ends.
     *
     * @throws WireException if a batch violates the wire protocol
     * @throws IOException if reading or writing fails
     */
    public void run(InputStream in, OutputStream out) throws IOException {
        byte[] line = new byte[BUFFER_BYTES];
        int length = 0;
        byte[] chunk = new byte[BUFFER_BYTES];
        int readBytes;
        while ((readBytes = in.read(chunk)) >= 0) {
            int from = 0;
            for (int i = 0; i < readBytes; i++) {
                if (chunk[i] != '\n') {
                    continue;
                }
                line = append(line, length, chunk, from, i);
                length += i - from;
                from = i + 1;
                processBatch(line, length, out);
                length = 0;
            }
            line = append(line, length, chunk, from, readBytes);
            length += readBytes - from;
        }
        processBatch(line, length, out);
    }

    private static byte[] append(byte[] line, int length, byte[] chunk, int from, int to) {
        byte[] target = line;
        if (length + to - from > line.length) {
            target = Arrays.copyOf(line, Math.max(line.length * 2, length + to - from));
        }
        System.arraycopy(chunk, from, target, length, to - from);
        return target;
    }

    private void processBatch(byte[] line, int length, OutputStream out) throws IOException {
        boolean blank = true;
        for (int i = 0; i < length && blank; i++) {
            blank = line[i] == ' ' || line[i] == '\r' || line[i] == '\t';
        }
        if (blank) {
            return;
        }
        BatchReader.Batch batch = reader.read(line, length);
        ActionWriter actions = new ActionWriter();
        for (RouterCommand command : batch.commands()) {
            actions.setRouter(command.router());
            try {
                execute(command, batch.timeMicros(), actions);
            } catch (WireException e) {
                throw e;
            } catch (RuntimeException e) {
                actions.internalError(e);
            }
        }
        out.write(actions.finish());
        out.write('\n');
        out.flush();
    }

    private void execute(RouterCommand command, long timeMicros, ActionWriter actions) {
        if (command instanceof RouterCommand.Deliver deliver) {
            Router router = routers.get(deliver.router());
            if (router == null) {
                throw new WireException("field who: no router " + deliver.router() + " is up");
            }
            router.handle(timeMicros, deliver.event(), actions);
        } else if (command instanceof RouterCommand.Start start) {
            routers.put(start.router(), new Router(start.seed(), start.settings(), timeMicros, actions));
        } else {
            routers.remove(command.router());
        }
    }
}
