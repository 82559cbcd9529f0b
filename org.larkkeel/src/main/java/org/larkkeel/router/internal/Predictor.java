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
 * Predicts when steps of a request would be complete.
 *
 * <p>All times are on the node's clock, in nanoseconds. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Predictor {
  private static final long OTHER_DATA_CENTRE_NANOS = 1_000_000L;
  private static final double DEFAULT_KV_BYTES_PER_TOKEN = 100_000;
  private static final double KV_STEP = 0.1;
  private static final int ESTIMATE_SAMPLE = 4;

  private final Context context;
  private final String ownDataCentre;
  private final Map<ModelName, Double> kvBytesPerToken = new HashMap<>();

  /**
   * Creates a predictor.
   *
   * @param context what the parts of the router share
   */
  public Predictor(Context context) {
    this.context = context;
    this.ownDataCentre = context.settings().dataCentre().map(Object::toString).orElse("");
  }

  /**
   * Learns the size of a KV cache.
   *
   * @param request the request
   * @param bytes the size
   */
  public void learnKv(RequestState request, long bytes) {
    if (!(request.call instanceof Call.Completion completion) || bytes <= 0) {
      return;
    }
    double sample = (double) bytes / Math.max(1, request.contextTokens());
    Double known = kvBytesPerToken.get(completion.model());
    double updated = known == null ? sample : known + KV_STEP * (sample - known);
    kvBytesPerToken.put(completion.model(), updated);
  }

  /**
   * Forgets models.
   *
   * @param fleet tells which models are known
   */
  public void keepOnly(Fleet fleet) {
    kvBytesPerToken.keySet().removeIf(model -> !fleet.knows(model));
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
   * Predicts the end of a prefill that starts now.
   *
   * @param request the request
   * @param engine the prefill engine
   * @return the time
   */
  public long prefillEnd(RequestState request, UpstreamState engine) {
    double cached = engine.cache.expected(request.prefixes());
    double work = Math.max(1, request.contextTokens() - cached);
    return engine.prefills.freeAt(context.now(), engine.rates)
        + (long) engine.rates.prefillNanos(work)
        + distance(ownDataCentre, engine.dataCentre());
  }

  /**
   * Predicts the end of a transfer.
   *
   * @param bytes its size
   * @param from the engine that holds the KV cache
   * @param to the decode engine
   * @param notBefore when it can start
   * @return the time
   */
  public long transferEnd(long bytes, UpstreamState from, UpstreamState to, long notBefore) {
    long free = Math.max(from.link.freeAt(context.now()), to.link.freeAt(context.now()));
    long nanos = Math.max(from.link.nanos(bytes), to.link.nanos(bytes));
    return Math.max(notBefore, free) + nanos + distance(from.dataCentre(), to.dataCentre());
  }

  /**
   * Predicts the time between tokens if one more request runs.
   *
   * @param engine the decode engine
   * @return nanoseconds a token
   */
  public double decodeNanos(UpstreamState engine) {
    SlotLedger slots = engine.slots;
    int batch = slots.active() + slots.reserved() + slots.others() + 1;
    return engine.rates.decodeNanos(Math.min(batch, slots.limit()));
  }

  /**
   * Predicts the tokens that a request still has to get.
   *
   * @param request the request
   * @return tokens
   */
  public double remainingTokens(RequestState request) {
    return switch (request.call) {
      case Call.Completion completion ->
          request.route.lengths.remaining(completion.maxTokens(), request.tokens);
      case Call.Plain plain -> 0;
    };
  }

  /**
   * Predicts the answer of a plain call that starts now.
   *
   * @param service the service
   * @return the time
   */
  public long serviceEnd(UpstreamState service) {
    double share = (double) service.slots.active() / Math.max(1, service.slots.limit());
    return context.now()
        + (long) (service.rates.serviceNanos() * (1 + share))
        + distance(ownDataCentre, service.dataCentre());
  }

  /**
   * Predicts the time to the first token, or to the answer of a plain call, if nothing is in the
   * way.
   *
   * @param request the request
   * @return nanoseconds
   */
  public long bestCase(RequestState request) {
    Route route = request.route;
    CandidateSet set = request.isPlain() ? route.service() : route.prefill();
    double best = Double.MAX_VALUE;
    int count = Math.min(ESTIMATE_SAMPLE, set.all().size());
    for (int i = 0; i < count; i++) {
      UpstreamState state = set.all().get(i);
      double nanos =
          request.isPlain()
              ? state.rates.serviceNanos()
              : state.rates.prefillNanos(request.contextTokens())
                  + state.link.nanos(kvBytes(request));
      best = Math.min(best, nanos);
    }
    return count == 0 ? 0 : (long) best;
  }

  /**
   * Predicts the time to the last token if nothing is in the way.
   *
   * @param request the request
   * @return nanoseconds
   */
  public long bestCaseToEnd(RequestState request) {
    double decode = Double.MAX_VALUE;
    CandidateSet set = request.route.decode();
    int count = Math.min(ESTIMATE_SAMPLE, set.all().size());
    for (int i = 0; i < count; i++) {
      decode = Math.min(decode, set.all().get(i).rates.decodeNanos(1));
    }
    long first = bestCase(request);
    return count == 0 ? first : first + (long) (decode * remainingTokens(request));
  }

  private static long distance(String from, String to) {
    return from.isEmpty() || from.equals(to) ? 0 : OTHER_DATA_CENTRE_NANOS;
  }
}
