/** Tasks that continue after their caller was answered. */

/** Tracks tasks so that a planned stop can wait for them. */
export class BackgroundTasks {
  private readonly tasks = new Set<Promise<void>>();

  get size(): number {
    return this.tasks.size;
  }

  /** Tracks a task until it settles and passes its error, if any, to `report`. */
  track(task: Promise<unknown>, report: (error: unknown) => void = () => undefined): void {
    const settled: Promise<void> = task.then(
      () => undefined,
      (error: unknown) => {
        report(error);
      },
    );
    this.tasks.add(settled);
    void settled.finally(() => this.tasks.delete(settled));
  }

  /** Resolves when no task is left. */
  async idle(): Promise<void> {
    while (this.tasks.size > 0) await Promise.all(this.tasks);
  }
}
