package lupinvalve.replication;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/** A disk that loses what was not forced, and may fail or lie. */
final class SimulatedDisk implements Disk {
    private static final int MAX_VOTE_RECORD_BYTES = 40;

    private static final class File {
        byte[] bytes = {};
        int forced;
    }

    final TreeMap<String, File> files = new TreeMap<>();
    /** Bytes that it still takes; a disk that is full takes the part that fits. */
    long freeBytes = Long.MAX_VALUE;
    /** What is done wrong on purpose. */
    FaultSweep.SeededBug seededBug = FaultSweep.SeededBug.NONE;

    /** Loses power: of each file's unforced bytes some of the first remain. */
    void crash(Random random) {
        files.values().forEach(file -> {
            file.bytes = Arrays.copyOf(file.bytes, file.forced + random.nextInt(file.bytes.length - file.forced + 1));
            file.forced = file.bytes.length;
        });
    }

    byte[] content(String name) {
        return files.get(name).bytes;
    }

    void put(String name, byte[] bytes) {
        File file = new File();
        file.bytes = bytes;
        file.forced = bytes.length;
        files.put(name, file);
    }

    SimulatedDisk copy() {
        SimulatedDisk copy = new SimulatedDisk();
        files.forEach((name, file) -> copy.put(name, file.bytes.clone()));
        return copy;
    }

    private void take(int count) throws IOException {
        freeBytes -= count;
        if (freeBytes < 0) {
            freeBytes = 0;
            throw new IOException("No space left on device");
        }
    }

    @Override
    public List<String> names() {
        return List.copyOf(files.keySet());
    }

    @Override
    public byte[] read(String name) {
        return files.get(name).bytes.clone();
    }

    @Override
    public Out create(String name) throws IOException {
        take(0);
        File file = new File();
        files.put(name, file);
        return new Out() {
            /** Whether the last write is too short to hold a change of the scenarios'. */
            private boolean small;

            @Override
            public void write(byte[] bytes) throws IOException {
                small = bytes.length < MAX_VOTE_RECORD_BYTES;
                int fits = (int) Math.min(bytes.length, freeBytes);
                int at = file.bytes.length;
                file.bytes = Arrays.copyOf(file.bytes, at + fits);
                System.arraycopy(bytes, 0, file.bytes, at, fits);
                take(bytes.length);
            }

            @Override
            public void force() {
                boolean skipped = seededBug == FaultSweep.SeededBug.ACK_BEFORE_FORCE
                        || seededBug == FaultSweep.SeededBug.VOTE_NOT_FORCED && small;
                file.forced = skipped ? file.forced : file.bytes.length;
            }

            @Override
            public void close() {
                // Nothing is held.
            }
        };
    }

    @Override
    public void replace(String name, byte[] content) throws IOException {
        take(content.length);
        put(name, content);
        if (seededBug == FaultSweep.SeededBug.RENAME_WITHOUT_FORCE) {
            files.get(name).forced = 0;
        }
    }

    @Override
    public void truncate(String name, long size) {
        put(name, Arrays.copyOf(files.get(name).bytes, (int) size));
    }

    @Override
    public void delete(String name) {
        files.remove(name);
    }

    @Override
    public void close() {
        // Nothing is held.
    }
}
