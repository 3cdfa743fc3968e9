package beamspread.fleet;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import beamspread.lease.FencingToken;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/** Calls to one agent. Every call ends within its limit. */
public final class AgentClient {
  private static final Duration CONNECT = Duration.ofSeconds(2);

  private final Inventory.AgentEntry agent;
  private final HttpClient http;
  private final Duration limit;
  private final String token;

  /** What calls that act are done under; null for nothing. */
  private volatile FencingToken fencing;

  /**
   * A client for one agent.
   *
   * @param executor runs the client's own tasks
   * @throws IOException if the token or the certificates can't be read
   */
  public AgentClient(Inventory.AgentEntry agent, long answerNanos, Executor executor)
      throws IOException {
    this.agent = agent;
    this.limit = Duration.ofNanos(answerNanos);
    this.token = agent.tokenFile() == null ? null : Files.readString(agent.tokenFile()).strip();
    HttpClient.Builder builder =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT.compareTo(limit) < 0 ? CONNECT : limit)
            .executor(executor);
    if (agent.caFile() != null) {
      builder.sslContext(trusting(agent));
    }
    http = builder.build();
  }

  private static SSLContext trusting(Inventory.AgentEntry agent) throws IOException {
    try (InputStream in = Files.newInputStream(agent.caFile())) {
      KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
      store.load(null, null);
      int number = 0;
      for (Certificate certificate :
          CertificateFactory.getInstance("X.509").generateCertificates(in)) {
        store.setCertificateEntry("ca" + number++, certificate);
      }
      TrustManagerFactory trust =
          TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
      trust.init(store);
      SSLContext context = SSLContext.getInstance("TLS");
      context.init(null, trust.getTrustManagers(), null);
      return context;
    } catch (GeneralSecurityException e) {
      throw new IOException(agent.caFile() + ": " + e.getMessage(), e);
    }
  }

  /** Shows this with each further call that acts; null for nothing. */
  public void fence(FencingToken with) {
    fencing = with;
  }

  /** The agent's name in the inventory. */
  public String name() {
    return agent.name();
  }

  /** The agent itself. */
  public Api.AgentView agent() throws AgentCallException {
    return get("agent", Api.AgentView.class, Duration.ZERO);
  }

  /** All its instances. */
  public List<Api.InstanceView> instances() throws AgentCallException {
    return get("instances", Api.Instances.class, Duration.ZERO).instances();
  }

  /** An instance, with what its node says now. */
  public Api.InstanceView query(String instance) throws AgentCallException {
    return get("instances/" + word(instance) + "/status", Api.InstanceView.class, Duration.ZERO);
  }

  /** The last lines of an instance's log. */
  public List<String> log(String instance, int lines) throws AgentCallException {
    return get(
            "instances/" + word(instance) + "/log?lines=" + lines,
            Api.LogLines.class,
            Duration.ZERO)
        .lines();
  }

  /** An operation; waits for at most so long until more than {@code seen} steps have ended. */
  public Api.OperationView operation(String id, long waitMillis, int seen)
      throws AgentCallException {
    return get(
        "operations/" + word(id) + "?wait_ms=" + waitMillis + "&seen=" + seen,
        Api.OperationView.class,
        Duration.ofMillis(waitMillis));
  }

  /** The newest operations. */
  public List<Api.OperationView> operations(int most) throws AgentCallException {
    return get("operations?most=" + most, Api.Operations.class, Duration.ZERO).operations();
  }

  /**
   * Shows the agent the token that {@link #fence} set, before anything is done under it.
   *
   * @throws AgentCallException also while a step of an earlier owner's is under way there: {@link
   *     Api#FINISHING}
   */
  public Api.LeaseTold announce() throws AgentCallException {
    return post("fence", Map.of(), Api.LeaseTold.class);
  }

  /** Takes leases. */
  public Api.LeaseGiven lease(Api.LeaseAsk ask) throws AgentCallException {
    return post("leases", ask, Api.LeaseGiven.class);
  }

  /** Renews a session's leases. */
  public void renew(Api.LeaseEnd renewal) throws AgentCallException {
    post("leases/renew", renewal, Api.LeaseGiven.class);
  }

  /** Gives a session's leases back. */
  public void release(Api.LeaseEnd end) throws AgentCallException {
    post("leases/release", end, Api.LeaseGiven.class);
  }

  /** Begins steps. Asked again with the same ones it does nothing more. */
  public Api.OperationView steps(Api.StepsAsk ask) throws AgentCallException {
    return post("steps", ask, Api.OperationView.class);
  }

  /** The table of variants of a fleet, and what the agent's nodes say. */
  public Api.VariantView variants(String fleet) throws AgentCallException {
    return get("variants/" + word(fleet), Api.VariantView.class, Duration.ZERO);
  }

  /** The same without the table's text, which may be long. */
  public Api.VariantView variantsBrief(String fleet) throws AgentCallException {
    return get("variants/" + word(fleet) + "?text=0", Api.VariantView.class, Duration.ZERO);
  }

  /** Offers a table of variants, under the token that is shown. */
  public Api.VariantView offer(String fleet, Api.VariantOffer offer) throws AgentCallException {
    return post("variants/" + word(fleet), offer, Api.VariantView.class);
  }

  /** Keeps a family of variants split until it is allowed again. */
  public Api.VariantView split(String fleet, String family) throws AgentCallException {
    return post(
        "variants/" + word(fleet) + "/split", new Api.VariantFamily(family), Api.VariantView.class);
  }

  /** Allows a family of variants to be merged again. */
  public Api.VariantView allow(String fleet, String family) throws AgentCallException {
    return post(
        "variants/" + word(fleet) + "/allow", new Api.VariantFamily(family), Api.VariantView.class);
  }

  /** The events after this number as they happen, one JSON object a line. */
  public InputStream events(long since) throws AgentCallException {
    HttpResponse<InputStream> response =
        send(
            request("events?since=" + since).GET().build(),
            HttpResponse.BodyHandlers.ofInputStream());
    return response.body();
  }

  private static String word(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  private HttpRequest.Builder request(String path) {
    HttpRequest.Builder builder = HttpRequest.newBuilder(agent.url().resolve("/v1/" + path));
    if (token != null) {
      builder.header("Authorization", "Bearer " + token);
    }
    return builder;
  }

  private <T> T get(String path, Class<T> type, Duration wait) throws AgentCallException {
    return value(
        send(
            request(path).timeout(limit.plus(wait)).GET().build(),
            HttpResponse.BodyHandlers.ofString()),
        type);
  }

  private <T> T post(String path, Object body, Class<T> type) throws AgentCallException {
    HttpRequest.Builder call =
        request(path)
            .timeout(limit)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(Json.text(body)));
    FencingToken shown = fencing;
    if (shown != null) {
      call.header(Api.FENCING_HEADER, shown.text());
    }
    return value(send(call.build(), HttpResponse.BodyHandlers.ofString()), type);
  }

  private <T> HttpResponse<T> send(HttpRequest request, HttpResponse.BodyHandler<T> handler)
      throws AgentCallException {
    try {
      return http.send(request, handler);
    } catch (ConnectException | HttpConnectTimeoutException e) {
      throw new AgentCallException(
          "agent " + name() + " cannot be reached at " + agent.url(), false, null);
    } catch (IOException e) {
      String why = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
      throw new AgentCallException(
          "agent " + name() + " at " + agent.url() + " gave no answer: " + why, true, null);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AgentCallException("interrupted", true, null);
    }
  }

  private <T> T value(HttpResponse<String> response, Class<T> type) throws AgentCallException {
    try {
      if (response.statusCode() == 200) {
        return Json.read(response.body(), type);
      }
      Api.Problem problem = Json.read(response.body(), Api.Problem.class);
      throw new AgentCallException(
          "agent " + name() + ": " + problem.message(),
          response.statusCode() >= 500 && !problem.error().equals("record"),
          problem);
    } catch (Json.BadJsonException e) {
      throw new AgentCallException(
          "agent "
              + name()
              + " at "
              + agent.url()
              + " answers "
              + response.statusCode()
              + " with what is no answer of an agent: "
              + e.getMessage(),
          true,
          null);
    }
  }
}
