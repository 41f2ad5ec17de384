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
 * Generates a private certificate authority, and keys and certificates for the members of a trial cluster, with the
 * JDK's keytool: none of the program's libraries can issue certificates. The files are readable by their owner only.
 */
final class Keys {
    private static final String AUTHORITY = "authority";
    private static final String OPERATOR = "operator";
    private static final int PASSWORD_BYTES = 16;
    private static final int KEYTOOL_TIMEOUT_SECONDS = 60;
    private static final int PEM_LINE_CHARS = 64;

    private Keys() {}

    static void generate(Path folder, List<String> members) throws IOException, GeneralSecurityException {
        generate(folder, members, List.of("-validity", "825"));
    }

    /** @param validity keytool's options for the validity period of the members' certificates */
    static void generate(Path folder, List<String> members, List<String> validity)
            throws IOException, GeneralSecurityException {
        if (members.isEmpty()) {
            throw new IllegalArgumentException("store keys needs a folder and the members' names");
        }
        Files.createDirectories(
                folder, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        byte[] random = new byte[PASSWORD_BYTES];
        new SecureRandom().nextBytes(random);
        String storePassword = HexFormat.of().formatHex(random);
        Path store = Files.createTempFile(folder, "keys", ".p12");
        Files.delete(store);
        try {
            List<String> keyOptions = List.of("-genkeypair", "-keyalg", "EC", "-groupname", "secp256r1");
            runKeytool(
                    store,
                    storePassword,
                    keyOptions,
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
            keyOptions = new ArrayList<>(keyOptions);
            keyOptions.addAll(validity);
            List<String> names = new ArrayList<>(members);
            names.add(OPERATOR);
            for (String name : names) {
                if (!name.matches("[A-Za-z0-9_-]{1,63}") || name.equals(AUTHORITY)) {
                    throw new IllegalArgumentException("no name for a member: " + name);
                }
                runKeytool(
                        store,
                        storePassword,
                        keyOptions,
                        "-alias",
                        name,
                        "-dname",
                        "CN=" + name,
                        "-signer",
                        AUTHORITY,
                        "-signerkeypass",
                        storePassword,
                        "-ext",
                        "san=dns:" + name);
            }
            writeFiles(folder, store, storePassword, names);
        } finally {
            Files.deleteIfExists(store);
        }
    }

    private static void runKeytool(Path store, String storePassword, List<String> command, String... options)
            throws IOException {
        List<String> commandLine = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "keytool").toString()));
        commandLine.addAll(command);
        commandLine.addAll(Arrays.asList(options));
        // The password protects the temporary key store. It is passed by the environment: other users can read a
        // command line.
        commandLine.addAll(
                List.of("-keystore", store.toString(), "-storetype", "PKCS12", "-storepass:env", "STORE_WORD"));
        commandLine.replaceAll(argument -> argument.equals(storePassword) ? "STORE_WORD" : argument);
        int signerIndex = commandLine.indexOf("-signerkeypass");
        if (signerIndex >= 0) {
            commandLine.set(signerIndex, "-signerkeypass:env");
        }
        ProcessBuilder keytool = new ProcessBuilder(commandLine).redirectErrorStream(true);
        keytool.environment().put("STORE_WORD", storePassword);
        Process process = keytool.start();
        try {
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (!process.waitFor(KEYTOOL_TIMEOUT_SECONDS, TimeUnit.SECONDS) || process.exitValue() != 0) {
                throw new IOException("keytool: " + output.replace('\n', ' '));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static void writeFiles(Path folder, Path store, String storePassword, List<String> names)
            throws IOException, GeneralSecurityException {
        KeyStore keys = KeyStore.getInstance("PKCS12");
        keys.load(new ByteArrayInputStream(Files.readAllBytes(store)), storePassword.toCharArray());
        writePem(
                folder.resolve(AUTHORITY + ".pem"),
                "CERTIFICATE",
                keys.getCertificate(AUTHORITY).getEncoded());
        writePem(
                folder.resolve(AUTHORITY + ".key"),
                "PRIVATE KEY",
                keys.getKey(AUTHORITY, storePassword.toCharArray()).getEncoded());
        for (String name : names) {
            Key key = keys.getKey(name, storePassword.toCharArray());
            Certificate certificate = keys.getCertificate(name);
            writePem(folder.resolve(name + ".pem"), "CERTIFICATE", certificate.getEncoded());
            writePem(folder.resolve(name + ".key"), "PRIVATE KEY", key.getEncoded());
        }
    }

    private static void writePem(Path file, String kind, byte[] content) throws IOException {
        Files.deleteIfExists(file);
        Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        String lines = Base64.getMimeEncoder(PEM_LINE_CHARS, "\n".getBytes(StandardCharsets.US_ASCII))
                .encodeToString(content);
        Files.writeString(file, "-----BEGIN " + kind + "-----\n" + lines + "\n-----END " + kind + "-----\n");
    }
}
