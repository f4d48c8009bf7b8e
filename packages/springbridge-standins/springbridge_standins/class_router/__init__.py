"""Stand-ins for what surrounds the class router, whole worlds of them as processes, a demo."""
