/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.call.Call;
import org.larkkeel.lib.ModelName;

/**
 * Predicts the end times and the durations of the steps of a request.
 *
 * <p>Times are on the node's clock, in nanoseconds. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Predictor {
  private static final long CROSS_DATA_CENTRE_NANOS = 1_000_000L;
  private static final double DEFAULT_KV_BYTES_PER_TOKEN = 100_000;
  private static final double KV_SMOOTHING = 0.1;
  private static final int ESTIMATE_SAMPLE = 4;

  private final Context context;
  private final String ownDataCentre;
  private final Map<ModelName, Double> kvBytesPerToken = new HashMap<>();

  /**
   * Creates a predictor.
   *
   * @param context the shared state of the router
   */
  public Predictor(Context context) {
    this.context = context;
    this.ownDataCentre = context.settings().dataCentre().map(Object::toString).orElse("");
  }

  /**
   * Updates the mean KV cache size per token of a model with a sample.
   *
   * @param request the request
   * @param bytes the size of its KV cache; a value of 0 or less is ignored
   */
  public void recordKvSize(RequestState request, long bytes) {
    if (!(request.call instanceof Call.Completion completion) || bytes <= 0) {
      return;
    }
    double sample = (double) bytes / Math.max(1, request.contextTokens());
    Double previous = kvBytesPerToken.get(completion.model());
    double updated = previous == null ? sample : previous + KV_SMOOTHING * (sample - previous);
    kvBytesPerToken.put(completion.model(), updated);
  }

  /**
   * Removes the estimates of models that no upstream is declared for.
   *
   * @param upstreams the known upstreams
   */
  public void retainDeclaredModels(UpstreamTable upstreams) {
    kvBytesPerToken.keySet().removeIf(model -> !upstreams.isDeclared(model));
  }

  /**
   * Predicts the size of a KV cache.
   *
   * @param request the request
   * @return bytes
   */
  public long kvBytes(RequestState request) {
    if (!(request.call instanceof Call.Completion completion)) {
      return 0;
    }
    double perToken = kvBytesPerToken.getOrDefault(completion.model(), DEFAULT_KV_BYTES_PER_TOKEN);
    return (long) (perToken * request.contextTokens());
  }

  /**
   * Predicts the end of a prefill that is sent now.
   *
   * @param request the request
   * @param engine the prefill engine
   * @return the predicted time
   */
  public long prefillEnd(RequestState request, UpstreamState engine) {
    double cachedTokens = engine.cache.expectedTokens(request.prefixes());
    double prefillTokens = Math.max(1, request.contextTokens() - cachedTokens);
    return engine.prefills.freeAt(context.now(), engine.speeds)
        + (long) engine.speeds.prefillNanos(prefillTokens)
        + networkDelayNanos(ownDataCentre, engine.dataCentre());
  }

  /**
   * Predicts the end of the transfer of a KV cache.
   *
   * @param bytes the size
   * @param from the prefill engine that holds the KV cache
   * @param to the decode engine
   * @param notBefore the earliest start of the transfer
   * @return the predicted time
   */
  public long transferEnd(long bytes, UpstreamState from, UpstreamState to, long notBefore) {
    long free = Math.max(from.link.freeAt(context.now()), to.link.freeAt(context.now()));
    long nanos = Math.max(from.link.transferNanos(bytes), to.link.transferNanos(bytes));
    return Math.max(notBefore, free)
        + nanos
        + networkDelayNanos(from.dataCentre(), to.dataCentre());
  }

  /**
   * Predicts the time between tokens if one more request runs at an engine.
   *
   * @param engine the decode engine
   * @return nanoseconds per token
   */
  public double decodeNanos(UpstreamState engine) {
    SlotLedger slots = engine.slots;
    int batch = slots.active() + slots.reserved() + slots.heldByOthers() + 1;
    return engine.speeds.decodeNanos(Math.min(batch, slots.limit()));
  }

  /**
   * Predicts the number of tokens that a request has yet to receive.
   *
   * @param request the request
   * @return tokens
   */
  public double remainingTokens(RequestState request) {
    return switch (request.call) {
      case Call.Completion completion ->
          request.route.outputLengths.remaining(completion.maxTokens(), request.deliveredTokens);
      case Call.Plain plain -> 0;
    };
  }

  /**
   * Predicts the time of the answer to a plain call that is sent now.
   *
   * @param service the service
   * @return the predicted time
   */
  public long serviceEnd(UpstreamState service) {
    double share = (double) service.slots.active() / Math.max(1, service.slots.limit());
    return context.now()
        + (long) (service.speeds.serviceNanos() * (1 + share))
        + networkDelayNanos(ownDataCentre, service.dataCentre());
  }

  /**
   * Predicts the minimum time to the first token, or to the answer of a plain call, at idle
   * upstreams.
   *
   * @param request the request
   * @return nanoseconds
   */
  public long minFirstNanos(RequestState request) {
    Route route = request.route;
    CandidateSet set = request.isPlain() ? route.service() : route.prefill();
    double best = Double.MAX_VALUE;
    int count = Math.min(ESTIMATE_SAMPLE, set.all().size());
    for (int i = 0; i < count; i++) {
      UpstreamState state = set.all().get(i);
      double nanos =
          request.isPlain()
              ? state.speeds.serviceNanos()
              : state.speeds.prefillNanos(request.contextTokens())
                  + state.link.transferNanos(kvBytes(request));
      best = Math.min(best, nanos);
    }
    return count == 0 ? 0 : (long) best;
  }

  /**
   * Predicts the minimum time to the last token at idle upstreams.
   *
   * @param request the request
   * @return nanoseconds
   */
  public long minTotalNanos(RequestState request) {
    double nanosPerToken = Double.MAX_VALUE;
    CandidateSet set = request.route.decode();
    int count = Math.min(ESTIMATE_SAMPLE, set.all().size());
    for (int i = 0; i < count; i++) {
      nanosPerToken = Math.min(nanosPerToken, set.all().get(i).speeds.decodeNanos(1));
    }
    long firstNanos = minFirstNanos(request);
    return count == 0 ? firstNanos : firstNanos + (long) (nanosPerToken * remainingTokens(request));
  }

  private static long networkDelayNanos(String from, String to) {
    return from.isEmpty() || from.equals(to) ? 0 : CROSS_DATA_CENTRE_NANOS;
  }
}
