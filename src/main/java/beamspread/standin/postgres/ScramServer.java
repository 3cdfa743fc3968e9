package beamspread.standin.postgres;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.SecretKeyFactory;
import javax.crypto.spec.PBEKeySpec;
import javax.crypto.spec.SecretKeySpec;

/** The server's side of SCRAM-SHA-256 without channel binding (RFC 5802, RFC 7677). */
final class ScramServer {
  private static final int ITERATIONS = 4096;
  private static final byte[] SALT = "a stand-in's salt".getBytes(StandardCharsets.US_ASCII);

  private final byte[] salted;
  private final String serverNonce;
  private String clientFirstBare;
  private String serverFirst;

  ScramServer(String password, String serverNonce) throws GeneralSecurityException {
    this.serverNonce = serverNonce;
    salted =
        SecretKeyFactory.getInstance("PBKDF2WithHmacSHA256")
            .generateSecret(new PBEKeySpec(password.toCharArray(), SALT, ITERATIONS, 256))
            .getEncoded();
  }

  /** Takes the client-first-message; returns the server-first-message. */
  String first(String message) {
    String[] parts = message.split(",", 3);
    if (parts.length < 3 || !(parts[0].equals("n") || parts[0].equals("y"))) {
      throw new IllegalArgumentException("malformed client-first-message");
    }
    clientFirstBare = parts[2];
    serverFirst =
        "r="
            + attributes(clientFirstBare).getOrDefault("r", "")
            + serverNonce
            + ",s="
            + Base64.getEncoder().encodeToString(SALT)
            + ",i="
            + ITERATIONS;
    return serverFirst;
  }

  /** Takes the client-final-message; returns the server-final-message, null on a wrong proof. */
  String last(String message) throws GeneralSecurityException {
    int proofAt = message.lastIndexOf(",p=");
    if (proofAt < 0) {
      return null;
    }
    String withoutProof = message.substring(0, proofAt);
    byte[] proof = Base64.getDecoder().decode(message.substring(proofAt + 3));
    String auth = clientFirstBare + "," + serverFirst + "," + withoutProof;
    byte[] storedKey = sha256(hmac(salted, "Client Key"));
    byte[] signature = hmac(storedKey, auth);
    byte[] clientKey = new byte[signature.length];
    for (int i = 0; i < clientKey.length && proof.length == clientKey.length; i++) {
      clientKey[i] = (byte) (proof[i] ^ signature[i]);
    }
    String nonce = attributes(serverFirst).get("r");
    if (!MessageDigest.isEqual(sha256(clientKey), storedKey)
        || !nonce.equals(attributes(withoutProof).get("r"))) {
      return null;
    }
    return "v=" + Base64.getEncoder().encodeToString(hmac(hmac(salted, "Server Key"), auth));
  }

  private static Map<String, String> attributes(String message) {
    Map<String, String> found = new HashMap<>();
    for (String part : message.split(",")) {
      if (part.length() > 2 && part.charAt(1) == '=') {
        found.put(part.substring(0, 1), part.substring(2));
      }
    }
    return found;
  }

  private static byte[] hmac(byte[] key, String text) throws GeneralSecurityException {
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(key, "HmacSHA256"));
    return mac.doFinal(text.getBytes(StandardCharsets.UTF_8));
  }

  private static byte[] sha256(byte[] bytes) throws GeneralSecurityException {
    return MessageDigest.getInstance("SHA-256").digest(bytes);
  }
}
