/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;

/**
 * What callers, engines, services, operators and the platform saw; nothing of what the nodes think.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Observations {
  private final Map<RequestId, CallerRecord> callers = new LinkedHashMap<>();
  private final List<Held> holdings = new ArrayList<>();
  private final List<Work> work = new ArrayList<>();
  private final List<Execution> executions = new ArrayList<>();
  private final List<Accepted> accepted = new ArrayList<>();
  private final List<InForce> inForce = new ArrayList<>();
  private final List<OrderTaken> orders = new ArrayList<>();
  private final List<Start> starts = new ArrayList<>();

  /** One start of a node. */
  public static final class Start {
    private final int number;
    private final long at;
    long stopAt = Long.MAX_VALUE;
    long endedAt = Long.MAX_VALUE;

    Start(int number, long at) {
      this.number = number;
      this.at = at;
    }

    /**
     * The number of the start.
     *
     * @return a number from 0 on
     */
    public int number() {
      return number;
    }

    /**
     * When it began.
     *
     * @return nanoseconds
     */
    public long at() {
      return at;
    }

    /**
     * When a planned stop was asked for.
     *
     * @return nanoseconds, the largest number if never
     */
    public long stopAt() {
      return stopAt;
    }

    /**
     * Tells whether the process still runs.
     *
     * @return true if so
     */
    public boolean isRunning() {
      return endedAt == Long.MAX_VALUE;
    }
  }

  /** Engine memory held for an attempt of a request. */
  public static final class Held {
    final UpstreamName upstream;
    final RequestId request;
    final long from;
    long until = Long.MAX_VALUE;

    Held(UpstreamName upstream, RequestId request, long from) {
      this.upstream = upstream;
      this.request = request;
      this.from = from;
    }

    /**
     * The engine.
     *
     * @return its name
     */
    public UpstreamName upstream() {
      return upstream;
    }

    /**
     * The request.
     *
     * @return its id
     */
    public RequestId request() {
      return request;
    }

    /**
     * When it began.
     *
     * @return nanoseconds
     */
    public long from() {
      return from;
    }

    /**
     * When it ended.
     *
     * @return nanoseconds, the largest number if it did not
     */
    public long until() {
      return until;
    }
  }

  /**
   * New work that an upstream took.
   *
   * @param upstream the upstream
   * @param request the request
   * @param at when
   */
  public record Work(UpstreamName upstream, RequestId request, long at) {}

  /**
   * A plain call that a service executed.
   *
   * @param identity what must not run twice: the key, or the request if it has none
   * @param request the request
   * @param repeatable whether it may run more than once
   */
  public record Execution(String identity, RequestId request, boolean repeatable) {}

  /**
   * A configuration that the platform holds durably.
   *
   * @param revision its revision
   * @param leaving the upstream that it takes out of use, empty if none
   * @param at when
   */
  public record Accepted(Revision revision, Optional<UpstreamName> leaving, long at) {}

  /**
   * A configuration that came into force at a node, as its status page shows.
   *
   * @param node the start of the node
   * @param host its host
   * @param revision the revision
   * @param at when
   */
  public record InForce(int node, HostName host, Revision revision, long at) {}

  /**
   * An order that an engine carried out.
   *
   * @param upstream the engine
   * @param fence its fencing number
   * @param at when
   */
  public record OrderTaken(UpstreamName upstream, long fence, long at) {}

  void started(Start start) {
    starts.add(start);
  }

  Start start(int number) {
    return starts.get(number);
  }

  /**
   * Starts of nodes.
   *
   * @return the records, in order of their numbers
   */
  public List<Start> starts() {
    return List.copyOf(starts);
  }

  CallerRecord caller(RequestId request) {
    return callers.computeIfAbsent(request, id -> new CallerRecord(id));
  }

  Held hold(UpstreamName upstream, RequestId request, long now) {
    Held held = new Held(upstream, request, now);
    holdings.add(held);
    return held;
  }

  void took(UpstreamName upstream, RequestId request, long now) {
    work.add(new Work(upstream, request, now));
  }

  void executed(Execution execution) {
    executions.add(execution);
  }

  void addAccepted(Accepted configuration) {
    accepted.add(configuration);
  }

  void addInForce(InForce configuration) {
    inForce.add(configuration);
  }

  void ordered(OrderTaken order) {
    orders.add(order);
  }

  /**
   * What the callers saw.
   *
   * @return their records, in the order of the requests
   */
  public List<CallerRecord> callers() {
    return List.copyOf(callers.values());
  }

  /**
   * What engines held.
   *
   * @return the records, in the order of their beginning
   */
  public List<Held> holdings() {
    return List.copyOf(holdings);
  }

  /**
   * New work of upstreams.
   *
   * @return the records, in order
   */
  public List<Work> work() {
    return List.copyOf(work);
  }

  /**
   * Calls executed by services.
   *
   * @return the records, in order
   */
  public List<Execution> executions() {
    return List.copyOf(executions);
  }

  /**
   * Configurations accepted.
   *
   * @return the records, in order
   */
  public List<Accepted> accepted() {
    return List.copyOf(accepted);
  }

  /**
   * Configurations in force.
   *
   * @return the records, in order
   */
  public List<InForce> inForce() {
    return List.copyOf(inForce);
  }

  /**
   * Orders carried out.
   *
   * @return the records, in order
   */
  public List<OrderTaken> orders() {
    return List.copyOf(orders);
  }
}
