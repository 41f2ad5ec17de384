package lupinvalve.replication;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/** An in-memory disk that loses unforced data in a crash, can run full, and can have a seeded bug. */
final class SimulatedDisk implements Disk {
    /** Every record of the scenarios that has a command is longer than this. */
    private static final int MAX_VOTE_RECORD_BYTES = 40;

    private static final class File {
        byte[] bytes = {};
        int forcedBytes;
    }

    final TreeMap<String, File> files = new TreeMap<>();
    /** Remaining capacity; of a write that exceeds it, the part that fits is stored and the write fails. */
    long freeBytes = Long.MAX_VALUE;

    FaultSweep.SeededBug seededBug = FaultSweep.SeededBug.NONE;

    /** Simulates the death of the process: of each file's unforced bytes, a prefix of random length remains. */
    void crash(Random random) {
        files.values().forEach(file -> {
            file.bytes = Arrays.copyOf(
                    file.bytes, file.forcedBytes + random.nextInt(file.bytes.length - file.forcedBytes + 1));
            file.forcedBytes = file.bytes.length;
        });
    }

    byte[] content(String name) {
        return files.get(name).bytes;
    }

    /** Stores a file whose bytes are all forced. */
    void put(String name, byte[] bytes) {
        File file = new File();
        file.bytes = bytes;
        file.forcedBytes = bytes.length;
        files.put(name, file);
    }

    /** A disk with a copy of the files, all bytes forced, without a capacity limit or a seeded bug. */
    SimulatedDisk copy() {
        SimulatedDisk copy = new SimulatedDisk();
        files.forEach((name, file) -> copy.put(name, file.bytes.clone()));
        return copy;
    }

    private void reserve(int byteCount) throws IOException {
        freeBytes -= byteCount;
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
    public AppendFile create(String name) throws IOException {
        reserve(0);
        File file = new File();
        files.put(name, file);
        return new AppendFile() {
            /** Whether the last write was a record without a command. */
            private boolean voteRecord;

            @Override
            public void write(byte[] bytes) throws IOException {
                voteRecord = bytes.length < MAX_VOTE_RECORD_BYTES;
                int storedBytes = (int) Math.min(bytes.length, freeBytes);
                int end = file.bytes.length;
                file.bytes = Arrays.copyOf(file.bytes, end + storedBytes);
                System.arraycopy(bytes, 0, file.bytes, end, storedBytes);
                reserve(bytes.length);
            }

            @Override
            public void force() {
                boolean skipForce = seededBug == FaultSweep.SeededBug.ACK_BEFORE_FORCE
                        || seededBug == FaultSweep.SeededBug.VOTE_NOT_FORCED && voteRecord;
                file.forcedBytes = skipForce ? file.forcedBytes : file.bytes.length;
            }

            @Override
            public void close() {
                // Nothing to release.
            }
        };
    }

    @Override
    public void replace(String name, byte[] content) throws IOException {
        reserve(content.length);
        put(name, content);
        if (seededBug == FaultSweep.SeededBug.RENAME_WITHOUT_FORCE) {
            files.get(name).forcedBytes = 0;
        }
    }

    @Override
    public void truncate(String name, long sizeBytes) {
        put(name, Arrays.copyOf(files.get(name).bytes, (int) sizeBytes));
    }

    @Override
    public void delete(String name) {
        files.remove(name);
    }

    @Override
    public void close() {
        // Nothing to release.
    }
}
