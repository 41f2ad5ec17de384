package lupinvalve.cli;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.Key;
import java.security.KeyStore;
import java.security.SecureRandom;
import java.security.cert.Certificate;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A private authority with keys and certificates for the members of a first try, made by the JDK's own keytool: no
 * library of this program writes certificates. Files are for their owner alone.
 */
final class Keys {
    private static final String AUTHORITY = "authority", OPERATOR = "operator";

    private Keys() {}

    static void make(Path folder, List<String> members) throws IOException, GeneralSecurityException {
        make(folder, members, List.of("-validity", "825"));
    }

    /** @param valid keytool's words for since when and how long members' certificates are good */
    static void make(Path folder, List<String> members, List<String> valid)
            throws IOException, GeneralSecurityException {
        if (members.isEmpty()) {
            throw new IllegalArgumentException("store keys needs a folder and the members' names");
        }
        Files.createDirectories(
                folder, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        byte[] random = new byte[16];
        new SecureRandom().nextBytes(random);
        String word = HexFormat.of().formatHex(random);
        Path store = Files.createTempFile(folder, "keys", ".p12");
        Files.delete(store);
        try {
            List<String> key = List.of("-genkeypair", "-keyalg", "EC", "-groupname", "secp256r1");
            tool(
                    store,
                    word,
                    key,
                    "-alias",
                    AUTHORITY,
                    "-dname",
                    "CN=" + AUTHORITY,
                    "-validity",
                    "3650",
                    "-ext",
                    "bc:c",
                    "-ext",
                    "ku:c=keyCertSign");
            key = new ArrayList<>(key);
            key.addAll(valid);
            List<String> names = new ArrayList<>(members);
            names.add(OPERATOR);
            for (String name : names) {
                if (!name.matches("[A-Za-z0-9_-]{1,63}") || name.equals(AUTHORITY)) {
                    throw new IllegalArgumentException("no name for a member: " + name);
                }
                tool(
                        store,
                        word,
                        key,
                        "-alias",
                        name,
                        "-dname",
                        "CN=" + name,
                        "-signer",
                        AUTHORITY,
                        "-signerkeypass",
                        word,
                        "-ext",
                        "san=dns:" + name);
            }
            write(folder, store, word, names);
        } finally {
            Files.deleteIfExists(store);
        }
    }

    private static void tool(Path store, String word, List<String> what, String... more) throws IOException {
        List<String> line = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "keytool").toString()));
        line.addAll(what);
        line.addAll(Arrays.asList(more));
        // The word guards the file for the moment that it is there; on a command line others could read it.
        line.addAll(List.of("-keystore", store.toString(), "-storetype", "PKCS12", "-storepass:env", "STORE_WORD"));
        line.replaceAll(part -> part.equals(word) ? "STORE_WORD" : part);
        int signer = line.indexOf("-signerkeypass");
        if (signer >= 0) {
            line.set(signer, "-signerkeypass:env");
        }
        ProcessBuilder tool = new ProcessBuilder(line).redirectErrorStream(true);
        tool.environment().put("STORE_WORD", word);
        Process process = tool.start();
        try {
            String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (!process.waitFor(60, TimeUnit.SECONDS) || process.exitValue() != 0) {
                throw new IOException("keytool: " + said.replace('\n', ' '));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static void write(Path folder, Path store, String word, List<String> names)
            throws IOException, GeneralSecurityException {
        KeyStore keys = KeyStore.getInstance("PKCS12");
        keys.load(new ByteArrayInputStream(Files.readAllBytes(store)), word.toCharArray());
        pem(
                folder.resolve(AUTHORITY + ".pem"),
                "CERTIFICATE",
                keys.getCertificate(AUTHORITY).getEncoded());
        pem(
                folder.resolve(AUTHORITY + ".key"),
                "PRIVATE KEY",
                keys.getKey(AUTHORITY, word.toCharArray()).getEncoded());
        for (String name : names) {
            Key key = keys.getKey(name, word.toCharArray());
            Certificate certificate = keys.getCertificate(name);
            pem(folder.resolve(name + ".pem"), "CERTIFICATE", certificate.getEncoded());
            pem(folder.resolve(name + ".key"), "PRIVATE KEY", key.getEncoded());
        }
    }

    private static void pem(Path file, String kind, byte[] content) throws IOException {
        Files.deleteIfExists(file);
        Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        String lines = Base64.getMimeEncoder(64, "\n".getBytes(StandardCharsets.US_ASCII))
                .encodeToString(content);
        Files.writeString(file, "-----BEGIN " + kind + "-----\n" + lines + "\n-----END " + kind + "-----\n");
    }
}
